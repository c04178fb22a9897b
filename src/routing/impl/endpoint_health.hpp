#pragma once

#include "kernel/kernel.hpp"

#include <span>

namespace sedgechute {

/// \brief Whether an endpoint accepts new work, and if not, why.
enum class endpoint_state {
  serving,
  leaving,     ///< draining: receives no new work, open streams finish
  unreachable, ///< connections failed or it went silent; tried again after a backoff
  ejected,     ///< slower or failing more often than its peers; tried again after a backoff
};

template <>
struct enum_names<endpoint_state> {
  static constexpr auto entries =
      enum_table<endpoint_state>({{endpoint_state::serving, "serving"},
                                  {endpoint_state::leaving, "leaving"},
                                  {endpoint_state::unreachable, "unreachable"},
                                  {endpoint_state::ejected, "ejected"}});
};

inline constexpr std::size_t endpoint_state_count = enum_names<endpoint_state>::entries.size();

/// \brief Thresholds and durations of outlier ejection.
struct health_policy {
  std::uint32_t min_samples{6};      ///< required to compare an endpoint with its peers
  double slow_ratio{3.0};            ///< multiple of the peers' median that counts as slow
  double failure_share{0.5};         ///< fraction of failed requests that counts as failing
  double max_ejected{0.34};          ///< fraction of a pool; never its last endpoint
  std::uint32_t connect_failures{2}; ///< consecutive failures that make it unreachable
  time_ms first_ejection{5000};
  time_ms max_ejection{60000};
  time_ms sample_life{30000}; ///< an endpoint without samples for this long is not compared
};

/// \brief One endpoint's recent latency and failures. Observed times are compared with expected
/// ones, so that long prompts do not make an endpoint look slow.
struct endpoint_health {
  endpoint_state state{endpoint_state::serving};
  double observed_ms{}; ///< moving average of the time to the first token
  double expected_ms{}; ///< moving average of the expected time to the first token
  double pace_ms{};     ///< moving average of the time between tokens; 0 if unknown
  double failures{};    ///< moving average of failed requests, 0..1
  std::uint32_t samples{};
  std::uint32_t failed_connects{}; ///< consecutive
  std::uint32_t ejections{};       ///< consecutive; each doubles the next duration
  time_ms last_sample;
  time_ms until; ///< end of `unreachable` or `ejected`
};

/// \returns observed divided by expected time to the first token. It is a ratio of averages, since
/// a short request behind a long one that this host does not know of has a ratio of ten anywhere.
[[nodiscard]] double slowness(const endpoint_health& health) noexcept;

void note_first_token(endpoint_health& health, double observed_ms, double expected_ms, time_ms now);
void note_pace(endpoint_health& health, double between_tokens_ms, time_ms now);
void note_outcome(endpoint_health& health, bool failed, time_ms now);

/// \returns whether the endpoint has just become unreachable
bool note_connect_failure(endpoint_health& health, const health_policy& policy, time_ms now);

/// \returns whether the endpoint has just become serving again
bool note_reachable(endpoint_health& health) noexcept;

/// \brief Ejects endpoints that are slow or failing compared with their peers, worst first and at
/// most `max_ejected` of the pool, and reinstates those whose ejection has expired. Call it about
/// once a second.
/// \param pool  all endpoints of one pool that are not leaving
/// \returns number of endpoints that changed state
std::size_t review_peers(std::span<endpoint_health* const> pool, const health_policy& policy,
                         time_ms now);

} // namespace sedgechute
