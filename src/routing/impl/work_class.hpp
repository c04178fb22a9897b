#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>

namespace sedgechute {

/// \brief Latency class of a request, in order of service.
enum class work_class {
  interactive, ///< chat: latency of the first token matters
  standard,    ///< tags, summaries, plain calls
  long_running ///< drafts and reports: may start late, must finish
};

inline constexpr std::size_t work_class_count = 3;

/// \returns the class of a priority in contracts and engine requests, from 0 (first) to 9 (last)
[[nodiscard]] constexpr work_class class_of_priority(std::int64_t priority) noexcept {
  constexpr std::int64_t last_interactive = 2;
  constexpr std::int64_t last_standard = 6;
  if (priority <= last_interactive)
    return work_class::interactive;
  return priority <= last_standard ? work_class::standard : work_class::long_running;
}

/// \returns the next more urgent class
/// \pre not interactive
[[nodiscard]] constexpr work_class more_urgent(work_class kind) noexcept {
  return static_cast<work_class>(static_cast<int>(kind) - 1);
}

/// \returns the next less urgent class
/// \pre not long_running
[[nodiscard]] constexpr work_class less_urgent(work_class kind) noexcept {
  return static_cast<work_class>(static_cast<int>(kind) + 1);
}

/// \brief Number of urgencies. An urgency is the rank of a waiting request, 0 first: teams within
/// their share precede those beyond it, then the class decides.
inline constexpr std::size_t urgency_count = 2 * work_class_count;

[[nodiscard]] constexpr std::size_t urgency_of(work_class kind, bool beyond_share) noexcept {
  return static_cast<std::size_t>(kind) + (beyond_share ? work_class_count : 0);
}

/// \returns the priority for engines, from 0 (first) to 9 (last)
[[nodiscard]] constexpr std::uint32_t engine_priority(std::size_t urgency) noexcept {
  constexpr std::uint32_t priorities[urgency_count] = {0, 2, 4, 5, 7, 9};
  return priorities[urgency];
}

template <>
struct enum_names<work_class> {
  static constexpr auto entries =
      enum_table<work_class>({{work_class::interactive, "interactive"},
                              {work_class::standard, "standard"},
                              {work_class::long_running, "long_running"}});
};

} // namespace sedgechute
