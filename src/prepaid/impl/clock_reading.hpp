#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief One instant by two clocks of a machine. Readings of earlier and later incarnations of a
/// process can be compared.
struct clock_reading {
  time_ms boot;            ///< time since the machine booted; restarts after a power loss
  time_ms wall;            ///< time of day; may jump by seconds
  bool from_median{false}; ///< `wall` is the median of several hosts' clocks

  bool operator==(const clock_reading&) const = default;
};

/// \returns the longest time that can have passed between two readings of one machine, or nothing
/// if its clocks cannot tell
[[nodiscard]] std::optional<time_ms> max_elapsed(const clock_reading& from,
                                                 const clock_reading& to) noexcept;

} // namespace sedgechute
