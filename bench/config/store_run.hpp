#pragma once

#include <cstddef>

namespace sedgechute::bench {

/// \brief Histories of races, outages, lost answers, lost records and restarts, compared with a
/// naive replay.
struct history_result {
  std::size_t histories{0};
  int reverted{0};
  int half_applied{0};
  int lost{0};
};

/// \brief What one host's documents cost.
struct store_result {
  std::size_t contracts{0};
  double restore_s{0}; ///< from the checkpoint's parts to contracts in force
  double checkpoint_mb{0};
  double change_us{0};    ///< processor time of one change
  double change_bytes{0}; ///< of its record in the log
};

[[nodiscard]] history_result run_histories(std::size_t count);
[[nodiscard]] store_result run_store(std::size_t contracts, std::size_t changes);

} // namespace sedgechute::bench
