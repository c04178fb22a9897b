#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief One instant by two clocks of one machine, so that an instant of an earlier life of a
/// process can be compared with one of a later life.
struct clock_reading {
  time_ms boot;            ///< since the machine was started; begins anew when it loses power
  time_ms wall;            ///< time of day; may jump by seconds
  bool from_median{false}; ///< `wall` is the median of several hosts' clocks

  bool operator==(const clock_reading&) const = default;
};

/// \returns the most time that can have passed between two moments of one machine; nothing when its
/// clocks do not tell
[[nodiscard]] std::optional<time_ms> max_elapsed(const clock_reading& from,
                                                 const clock_reading& to) noexcept;

} // namespace sedgechute
