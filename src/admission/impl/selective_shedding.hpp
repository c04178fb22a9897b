#pragma once

#include "admission/impl/request_flow.hpp"
#include "admission/impl/return_schedule.hpp"
#include "kernel/kernel.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sedgechute {

struct selective_shedding_options {
  /// Time constant of a team's share of the requests. The balancer moves callers within two
  /// seconds, and a share that is remembered longer would blame a host's new callers for others.
  time_ms memory{1000};
  time_ms recompute_interval{20}; ///< of the shares; a sort per request would cost too much
  std::size_t max_flows{1024};    ///< remembered; beyond it the least active are forgotten
};

/// \brief Decides which new requests an overloaded host refuses: those of lower priorities and of
/// teams above their share first, but none of them wholly. Within the share of a flow, requests
/// that return after a refusal are served before new ones. Not thread-safe.
class selective_shedding {
 public:
  explicit selective_shedding(const selective_shedding_options& options = {}) : options_{options} {}

  /// \brief Counts a request that is served without a decision.
  void note(const request_flow& of, time_ms now);
  /// \brief Counts a new request and decides about it.
  /// \param mark      hash of the attempt, so that requests that alternate do not keep step with
  ///   the decisions
  /// \param fraction  of all new requests that is to be refused
  /// \param returning  the request was refused before; changes only which requests of the flow are
  ///   served, not how many
  [[nodiscard]] bool refuses(const request_flow& of, std::uint64_t mark, double fraction,
                             time_ms now, bool returning = false);
  /// \brief Computes `Retry-After` for a refused request, so that the callers of a flow return more
  /// slowly than the flow's share serves them, or as late as they can.
  /// \param call  `served_per_second` is set here
  [[nodiscard]] time_ms return_after(const request_flow& of, refused_call call, time_ms now);
  [[nodiscard]] std::size_t flows() const noexcept { return flows_.size(); }

 private:
  struct flow_state {
    request_flow flow;
    double recent{0}; ///< decaying count of requests
    time_ms counted;  ///< when the count was last updated
    double served_part{1};
    double credit{0.5}; ///< requests that it may have served and has not
    return_schedule returns;
  };

  [[nodiscard]] double kept(time_ms span) const noexcept;
  flow_state& find_or_add(const request_flow& of, time_ms now);
  /// \param shedding  requests are being refused
  flow_state& count(const request_flow& of, bool shedding, time_ms now);
  [[nodiscard]] double share_per_second(const flow_state& of, time_ms now) const noexcept;
  void recompute(double fraction, time_ms now);

  selective_shedding_options options_;
  std::vector<flow_state> flows_;
  return_schedule
      late_returns_;   ///< of callers that cannot wait for a turn within their flow's share
  double capacity_{0}; ///< requests that can be served, in counts like those of the flows
  double fraction_{0}; ///< that the shares were computed for
  time_ms recomputed_;
  bool changed_{true}; ///< a flow was added since then
};

} // namespace sedgechute
