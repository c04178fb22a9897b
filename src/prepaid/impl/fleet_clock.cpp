#include "prepaid/impl/fleet_clock.hpp"

#include <algorithm>
#include <vector>

namespace sedgechute {

namespace {

// Hosts send their time at least once a second. The clock of a host that stopped sending may have
// been set since.
constexpr time_ms max_sample_age{2500};

// Least number of clocks for a median, including this machine's. Jumps affect some of the machines
// at a time; with fewer clocks two of them could outvote the rest.
constexpr std::size_t min_clocks = 5;

} // namespace

void fleet_clock::observe(const std::string& host, time_ms wall) {
  const time_ms at = now();
  const std::scoped_lock lock{mutex_};
  hosts_[host] = {wall - at, at};
}

// Times of day are stored as offsets from the boot clock, which never jumps: a jump of this
// machine's time of day changes only its own offset.
clock_reading fleet_clock::reading() const {
  const time_ms at = now();
  const time_ms own = wall_time();
  std::vector<time_ms> offset{own - at};
  {
    const std::scoped_lock lock{mutex_};
    for (const auto& [host, one] : hosts_)
      if (at - one.at <= max_sample_age)
        offset.push_back(one.offset);
  }
  if (offset.size() < min_clocks)
    return {at, own, false};
  const auto middle = offset.begin() + static_cast<std::ptrdiff_t>(offset.size() / 2);
  std::nth_element(offset.begin(), middle, offset.end());
  return {at, at + *middle, true};
}

clock_reading fleet_clock::restated(const clock_reading& earlier) const {
  const clock_reading here = reading();
  if (!here.from_median)
    return earlier;
  return {earlier.boot, here.wall - (here.boot - earlier.boot), true};
}

} // namespace sedgechute
