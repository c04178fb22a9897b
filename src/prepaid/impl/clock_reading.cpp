#include "prepaid/impl/clock_reading.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Two clocks that advanced alike were neither restarted nor set: their drift over minutes and the
// time between reading one and the other stay far below this.
constexpr time_ms max_clock_drift{250};

// A time of day is set by some seconds at a time; clocks that differ by more than this belong to
// two starts of the machine.
constexpr time_ms max_wall_step{60000};

// How far back one machine's time of day may have been set between the two moments; the largest
// jump known of these machines is 2.4 s.
constexpr time_ms max_wall_set_back{2500};

// How far the median of several machines' clocks may be off between two moments: clocks that are
// not set differ by some hundred milliseconds, and other hosts may be heard at one moment and the
// other.
constexpr time_ms max_median_shift{500};

time_ms absolute(time_ms span) noexcept {
  return std::max(span, time_ms{} - span);
}

} // namespace

// A kill leaves the machine's own clock going, and then both clocks agree. A loss of power starts
// it anew; what is left is the time of day, less sure by as much as it jumps.
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
