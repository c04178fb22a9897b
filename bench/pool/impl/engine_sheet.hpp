#pragma once

#include <cstdint>

namespace sedgechute::pool {

/// \brief What is known of an engine. Times in milliseconds.
struct engine_sheet {
  std::uint32_t batch{64};  ///< requests that run at once
  std::uint32_t queue{192}; ///< requests that may wait
  std::uint64_t memory_tokens{500'000};
  double step_ms{4};
  double step_ms_each_running{0.02};
  double step_ms_each_1000_kept{0.0025}; ///< tokens that running requests keep
  double tokens_read_a_ms{70};
  /// A pair is a token that is read and a token before it.
  double read_ms_each_million_pairs{0.25};
  double first_ms{0};               ///< before a request is in line
  std::uint32_t chunk_tokens{1024}; ///< read in one step at most
  std::uint32_t event_tokens{5};    ///< in one event of a stream
  double fetch_setup_ms{4};
  double tokens_fetched_a_ms{140};
  double report_lag_ms{100}; ///< age of the load that it tells
};

} // namespace sedgechute::pool
