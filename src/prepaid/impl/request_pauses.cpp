#include "prepaid/impl/request_pauses.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Threads that wake up late make pauses of this length in an even load.
constexpr time_ms least_idle_pause{300};

// Of requests that arrive at random, fewer than one pause in a hundred is longer than twice the
// longest of sixteen others.
constexpr std::int64_t pause_margin = 2;

} // namespace

void request_pauses::note(time_ms now) noexcept {
  if (known_) {
    pauses_[next_] = std::clamp(now - last_, time_ms{}, longest_pause);
    next_ = (next_ + 1) % pauses_.size();
  }
  known_ = true;
  last_ = now;
}

bool request_pauses::active(time_ms now) const noexcept {
  if (!known_)
    return false;
  const time_ms longest = *std::max_element(pauses_.begin(), pauses_.end());
  return now - last_ <= std::max(longest * pause_margin, least_idle_pause);
}

} // namespace sedgechute
