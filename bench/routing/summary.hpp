#pragma once

#include "driver.hpp"

#include <array>

namespace sedgechute::bench {

struct class_summary {
  double p50_ms{};
  double p95_ms{};
  double p99_ms{};
  std::size_t answered{};
  std::size_t refused{};
  std::size_t cut{};
};

/// \brief The figures of one run, over the measured span.
struct summary {
  std::array<class_summary, work_class_count> classes;
  double goodput{};         ///< tokens per second of answers that began within their patience
  double share_error{};     ///< worst team: distance from its share, in parts of the pool
  double share_error_own{}; ///< the same in parts of the team's own share
  std::size_t share_windows{};
  double cache_hits{}; ///< part of prompt tokens found cached
  double tries{};      ///< attempts per request beyond the first
  std::size_t lost{};
  std::size_t answered_twice{};
  std::uint32_t crashes{};
};

[[nodiscard]] summary summarise(const driver& world);

/// \returns p99 of the first token of chats of all teams but one, from `from_ms` on
[[nodiscard]] double chat_p99_without(const driver& world, std::uint32_t team, double from_ms);

/// \returns ms from the fault until the p95 of chat stays within 1.5 times what it was before, or
/// -1
[[nodiscard]] double recovery_ms(const driver& world);

} // namespace sedgechute::bench
