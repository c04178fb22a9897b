#pragma once

#include "kernel/kernel.hpp"

#include <span>

namespace sedgechute {

/// \brief What an endpoint is doing, as far as new work goes.
enum class endpoint_state {
  serving,
  leaving,     ///< takes no new work, ever; its streams finish
  unreachable, ///< could not be connected to, or went silent; tried again after a while
  ejected,     ///< slower or failing more than its peers; tried again after a while
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

struct health_policy {
  std::uint32_t least_samples{6};    ///< before an endpoint is compared with its peers
  double slow_ratio{3.0};            ///< times the peers' median that counts as slow
  double failure_share{0.5};         ///< of recent requests
  double most_ejected{0.34};         ///< of a pool; never the last one
  std::uint32_t connect_failures{2}; ///< in a row, until unreachable
  time_ms first_ejection{5000};
  time_ms most_ejection{60000};
  time_ms sample_life{30000}; ///< after this without work, an endpoint is not judged
};

/// \brief One endpoint's recent behaviour. The ratios compare what was observed with what was
/// expected of it, so that long prompts do not make it look slow.
struct endpoint_health {
  endpoint_state state{endpoint_state::serving};
  double observed_ms{}; ///< moving average of the time to the first token
  double expected_ms{}; ///< moving average of what was expected
  double pace_ms{};     ///< moving average between tokens; 0 when not known
  double failures{};    ///< moving average, 0..1
  std::uint32_t samples{};
  std::uint32_t failed_connects{}; ///< in a row
  std::uint32_t ejections{};       ///< in a row; doubles the span
  time_ms last_sample;
  time_ms until; ///< end of `unreachable` or `ejected`
};

/// \returns observed over expected time to the first token. A ratio of averages, as short requests
/// behind an unseen long one have single ratios of ten on any endpoint.
[[nodiscard]] double slowness(const endpoint_health& health) noexcept;

void note_first_token(endpoint_health& health, double observed_ms, double expected_ms, time_ms now);
void note_pace(endpoint_health& health, double between_tokens_ms, time_ms now);
void note_outcome(endpoint_health& health, bool failed, time_ms now);

/// \returns whether the endpoint has just become unreachable
bool note_connect_failure(endpoint_health& health, const health_policy& policy, time_ms now);

/// \returns whether the endpoint has just become serving again
bool note_reachable(endpoint_health& health) noexcept;

/// \brief Ejects those that are slow or failing compared with their peers, worst first and within
/// the floor, and takes back those whose span is over. To be called about once a second.
/// \param pool  all endpoints of one pool that are not leaving
/// \returns how many changed state
std::size_t review_peers(std::span<endpoint_health* const> pool, const health_policy& policy,
                         time_ms now);

} // namespace sedgechute
