#include "admission/impl/event_grouping.hpp"

#include <algorithm>
#include <cstdint>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000;
constexpr double max_excess = 2; // times the target, so that one long delay does not group all

// Part of a bound that the host may add: the rest is for links, endpoints and late wake-ups.
constexpr double bound_part = 0.25;

} // namespace

// A wake-up and a write per event cost most of a stream's processor time. Integral control, as for
// the refused fraction: a level that is a function of the delay alternates between its bounds,
// since grouping shows in the delay only after some hundred milliseconds.
void event_grouping::note_delay(double delay_ratio, time_ms since) noexcept {
  const double span =
      static_cast<double>(std::clamp(since, time_ms{}, options_.max_span).count()) / ms_per_second;
  const double excess = std::min(delay_ratio / options_.target - 1, max_excess);
  level_ =
      std::clamp(level_ + (excess > 0 ? options_.rise : options_.fall) * excess * span, 0.0, 1.0);
}

time_ms event_delay(double level, const event_bounds& bounds) noexcept {
  time_ms bound = std::max(bounds.latency, time_ms{});
  if (bounds.longest_pause > time_ms{})
    bound = std::min(bound, bounds.longest_pause);
  return time_ms{
      static_cast<std::int64_t>(level * bound_part * static_cast<double>(bound.count()))};
}

} // namespace sedgechute
