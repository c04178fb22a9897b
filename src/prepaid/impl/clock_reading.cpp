#include "prepaid/impl/clock_reading.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// If both clocks advanced by the same time within this tolerance, neither was restarted or set:
// their drift over minutes and the delay between the two reads are far smaller.
constexpr time_ms max_clock_drift{250};

// The time of day is set by a few seconds at a time. If the clocks differ by more than this, the
// machine was restarted between the readings.
constexpr time_ms max_wall_step{60000};

// How far a machine's time of day may have been set back between two readings; the largest known
// jump of these machines is 2.4 s.
constexpr time_ms max_wall_set_back{2500};

// How far the median of several machines' clocks may shift between two readings: clocks that are
// not set differ by some hundred milliseconds, and the two medians may be of different hosts.
constexpr time_ms max_median_shift{500};

time_ms absolute(time_ms span) noexcept {
  return std::max(span, time_ms{} - span);
}

} // namespace

// After a process is killed the boot clock keeps running, and both clocks agree. A power loss
// restarts the boot clock; only the time of day remains, with its possible jump as a margin.
std::optional<time_ms> max_elapsed(const clock_reading& from, const clock_reading& to) noexcept {
  const time_ms by_boot = to.boot - from.boot;
  const time_ms by_wall = to.wall - from.wall;
  const time_ms apart = absolute(by_boot - by_wall);
  if (apart <= max_clock_drift && by_boot >= time_ms{})
    return std::max(by_boot, by_wall);
  const bool same_boot = apart <= max_wall_step && by_boot >= time_ms{};
  const time_ms margin = from.from_median && to.from_median ? max_median_shift : max_wall_set_back;
  const time_ms longest = (same_boot ? std::max(by_boot, by_wall) : by_wall) + margin;
  if (longest < time_ms{})
    return std::nullopt;
  return longest;
}

} // namespace sedgechute
