#include "prepaid/impl/request_pauses.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Threads that wake up late make pauses of this length in an even load.
constexpr time_ms least_idle_pause{300};

// Of requests that arrive at random, fewer than one pause in a hundred is longer than twice the
// longest of eight others.
constexpr std::int64_t pause_margin = 2;

// The same for the pauses of a team as a whole, in mean pauses. Its requests may come in groups.
constexpr double team_pause_margin = 8;

constexpr double least_rate = 1e-3; // requests per second

} // namespace

void request_pauses::note(time_ms now) noexcept {
  if (known_) {
    pauses_[next_] = std::clamp(now - last_, time_ms{}, longest_pause);
    next_ = (next_ + 1) % pauses_.size();
  }
  known_ = true;
  last_ = now;
}

// A host of a large fleet gets few requests of a busy team: its own pauses alone would count the
// team as active for seconds after its last request.
bool request_pauses::active(time_ms now, double team_rate) const noexcept {
  if (!known_)
    return false;
  constexpr double ms_per_second = 1000;
  const time_ms usual = *std::max_element(pauses_.begin(), pauses_.end()) * pause_margin;
  const double of_team = team_pause_margin * ms_per_second / std::max(team_rate, least_rate);
  const time_ms limit = std::min(usual, time_ms{static_cast<std::int64_t>(of_team)});
  return now - last_ <= std::max(limit, least_idle_pause);
}

} // namespace sedgechute
