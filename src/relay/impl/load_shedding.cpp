#include "relay/impl/load_shedding.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000;
constexpr double max_excess = 2; // times the target, so that one long delay does not refuse all

} // namespace

// Integral control: the refused fraction is adjusted by the delay instead of being a function of
// it, so it settles where the delay meets the target, whatever the requests cost.
void load_shedding::note_wake_up(time_ms lateness, time_ms since) noexcept {
  const time_ms counted = std::clamp(lateness, time_ms{}, options_.max_lateness);
  const time_ms elapsed = std::clamp(since, time_ms{}, options_.max_span);
  const double span = static_cast<double>(elapsed.count());
  const double weight = 1 - std::exp(-span / static_cast<double>(options_.smoothing.count()));
  lateness_ms_ += (static_cast<double>(counted.count()) - lateness_ms_) * weight;
  const double excess = std::min(lateness_ms_ / options_.target_ms - 1, max_excess);
  const double change =
      (excess > 0 ? options_.rise : options_.fall) * excess * span / ms_per_second;
  refused_ = std::clamp(refused_ + change, 0.0, options_.max_refused);
  update_busy();
}

void load_shedding::note_requests(std::size_t turned_away, std::size_t all,
                                  time_ms since) noexcept {
  const double kept = std::exp(-static_cast<double>(since.count()) /
                               static_cast<double>(options_.smoothing.count()));
  turned_away_ = turned_away_ * kept + static_cast<double>(turned_away);
  all_ = all_ * kept + static_cast<double>(all);
  update_busy();
}

void load_shedding::update_busy() noexcept {
  constexpr double few = 4; // minimum sample, so that one of very few requests does not decide
  const double part = std::max(refused_, turned_away_ / std::max(all_, few));
  busy_ = part >= options_.busy_from || (busy_ && part > options_.busy_until);
}

} // namespace sedgechute
