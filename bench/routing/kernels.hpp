#pragma once

#include <cstdint>

namespace sedgechute::bench {

/// \brief Nanoseconds per call of the code on each request's way.
struct kernel_times {
  double choose_short_ns{}; ///< 2,500 replicas in one pool, 5 data centres, prompt of 4 blocks
  double choose_long_ns{};  ///< the same, prompt of 128 blocks
  double start_ns{};        ///< `endpoint_table::start` and `end`, prompt of 4 blocks
  double queue_ns{};        ///< enqueue, dequeue and settle, 830 teams with work
  double plan_us{};         ///< a plan over the reports of 70 hosts of 64 teams each
  double review_us{};       ///< a review of 2,500 endpoints
  std::uint64_t table_bytes{};
};

[[nodiscard]] kernel_times time_kernels();

} // namespace sedgechute::bench
