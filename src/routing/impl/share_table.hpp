#pragma once

#include "routing/impl/fair_queue.hpp"
#include "routing/impl/share_plan.hpp"

namespace sedgechute {

/// \brief Demand and service of all hosts that feed one pool, as heard, and this host's part. Not
/// thread-safe; needs a lock of rank `queues`.
class share_table {
 public:
  share_table(pool_id pool, incarnation self, share_policy policy = {});

  /// \brief Measures this host's queue since the last call; to be called about once a second and
  /// sent to the other hosts.
  [[nodiscard]] share_report measure(const fair_queue& queue, time_ms now);

  /// \brief Another host's report, or one that sums up a group. Older ones than known are ignored.
  void merge(const share_report& report, time_ms now);

  /// \brief Plans this host's part from what was heard of late and hands it to the queue.
  /// \param pool_slots  places at the pool's endpoints
  void apply_plan(fair_queue& queue, double pool_slots, time_ms now);

  /// \returns hosts heard of late, this one included
  [[nodiscard]] std::uint32_t hosts() const;

 private:
  struct heard_report {
    share_report report;
    time_ms at;
  };

  struct team_totals {
    double started{};
    double arrived{};
    double wanted{}; ///< moving average of the rate
  };

  void forget_silent(time_ms now);
  [[nodiscard]] share_inputs inputs(double pool_slots);

  pool_id pool_;
  incarnation self_;
  share_policy policy_;
  std::uint64_t sequence_{};
  time_ms measured_;
  bool ever_measured_{};
  absl::flat_hash_map<team_id, team_totals> totals_;
  absl::flat_hash_map<incarnation, heard_report> heard_;
  absl::flat_hash_map<team_id, double> usual_; ///< moving average of a team's service
  std::vector<team_weight> weights_;
};

} // namespace sedgechute
