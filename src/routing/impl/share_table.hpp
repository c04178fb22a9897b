#pragma once

#include "routing/impl/fair_queue.hpp"
#include "routing/impl/share_plan.hpp"

namespace sedgechute {

/// \brief Reports of all hosts that send to one pool, from which this host plans its part. Not
/// thread-safe; needs a lock of rank `queues`.
class share_table {
 public:
  share_table(pool_id pool, incarnation self, share_policy policy = {});

  /// \brief Measures this host's queue since the last call. Call it about once a second and send
  /// the result to the other hosts.
  [[nodiscard]] share_report measure(const fair_queue& queue, time_ms now);

  /// \brief Applies a report of another host or group; outdated ones are ignored.
  void merge(const share_report& report, time_ms now);

  /// \brief Plans this host's part from the recent reports and applies it to the queue.
  /// \param pool_slots  places at the pool's endpoints
  void apply_plan(fair_queue& queue, double pool_slots, time_ms now);

  /// \returns number of hosts in the recent reports, including this one
  [[nodiscard]] std::uint32_t hosts() const;

 private:
  struct received_report {
    share_report report;
    time_ms at;
  };

  struct team_totals {
    double started{};
    double arrived{};
    double wanted{}; ///< moving average of the arrival rate
  };

  void drop_expired(time_ms now);
  [[nodiscard]] share_inputs inputs(double pool_slots);

  pool_id pool_;
  incarnation self_;
  share_policy policy_;
  std::uint64_t sequence_{};
  time_ms measured_;
  bool ever_measured_{};
  absl::flat_hash_map<team_id, team_totals> totals_;
  absl::flat_hash_map<incarnation, received_report> received_;
  absl::flat_hash_map<team_id, double> average_service_; ///< moving average of each team's service
  std::vector<team_weight> weights_;
};

} // namespace sedgechute
