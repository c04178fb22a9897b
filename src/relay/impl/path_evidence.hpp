#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace sedgechute {

/// \brief Refused and broken connections of one endpoint since it was last reached, and when to
/// probe it to find out whether a refusal proves its death.
class refusal_history {
 public:
  /// \returns when it refused a connection before
  std::optional<time_ms> note_refused(time_ms now);
  /// \brief Records that an established connection broke.
  void note_broken(time_ms now) noexcept { broken_at_ = now; }
  /// \brief Records that a new connection was accepted.
  void note_reached() noexcept { *this = {}; }

  [[nodiscard]] bool refused() const noexcept { return refused_at_.has_value(); }
  [[nodiscard]] bool recently_broken(time_ms now) const noexcept;

  [[nodiscard]] bool confirmation_due(time_ms now) const noexcept {
    return confirmations_left_ > 0 && next_confirmation_ <= now;
  }
  void begin_confirmation(time_ms now) noexcept;
  void end_confirmation() noexcept { confirmations_left_ = 0; }

 private:
  std::optional<time_ms> refused_at_; ///< the latest
  std::optional<time_ms> broken_at_;
  int confirmations_left_{0};
  time_ms next_confirmation_;
};

/// \brief What a host knows of its paths when an endpoint refuses a connection once more.
struct repeated_refusal {
  data_centre_id centre;     ///< of the endpoint
  time_ms refused_before;    ///< when it refused a connection before
  time_ms began;             ///< when the connect began that was refused now
  std::size_t others_near{}; ///< other endpoints of its data centre
  std::size_t others{};      ///< other endpoints of all data centres
  std::size_t unreachable{}; ///< how many of all endpoints this host does not reach
};

/// \brief Tells dead endpoints from a host that has lost its network paths. Refused connections
/// prove a death only if this host reached other endpoints between two refusals, and reaches most
/// of them. Not thread-safe.
class path_evidence {
 public:
  /// \brief Records that a connection to an endpoint was established.
  /// \param began  when the connect began
  void note_reached(const endpoint_id& endpoint, const data_centre_id& centre, time_ms began,
                    time_ms now);
  [[nodiscard]] bool proves_death(const repeated_refusal& refusal) const;

 private:
  struct reached_endpoint {
    data_centre_id centre;
    time_ms began;
    time_ms ended;
  };

  std::map<endpoint_id, reached_endpoint> reached_;
};

/// \brief Decides whether this host has lost its paths to all endpoints. Not thread-safe.
class cut_detector {
 public:
  enum class change { none, begun, ended };

  /// \param usable       number of endpoints that requests may be sent to
  /// \param unreachable  how many of them this host does not reach
  [[nodiscard]] change observe(std::size_t usable, std::size_t unreachable, time_ms now);
  [[nodiscard]] bool cut_off() const noexcept { return cut_off_; }

 private:
  bool cut_off_{false};
  bool all_unreachable_{false};
  time_ms since_; ///< with `all_unreachable_`
};

} // namespace sedgechute
