#include "admission/impl/return_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000;
// Bounds of the time between two returns: headers carry whole milliseconds, and the rate of a flow
// that is served next to nothing says little.
constexpr double min_spacing_ms = 1;
constexpr double max_spacing_ms = 1000;

} // namespace

// Jitter of up to half the spacing could exceed the next spacing when the rate rises, so a return
// is never before the last one.
std::optional<time_ms> return_schedule::turn(const refused_call& call, time_ms now) noexcept {
  const auto now_ms = static_cast<double>(now.count());
  const double spacing = std::clamp(ms_per_second / std::max(call.served_per_second, 1.0),
                                    min_spacing_ms, max_spacing_ms);
  const auto earliest = static_cast<double>(call.earliest.count());
  const double longest = std::max(static_cast<double>(call.longest.count()), earliest);
  const double turn = std::max(now_ms + earliest, last_ + spacing);
  if (turn - now_ms > longest)
    return std::nullopt;
  last_ = turn;
  const double jitter = std::clamp(call.drawn, 0.0, 1.0) * spacing / 2;
  last_told_ = std::min(std::max(turn + jitter, last_told_ + min_spacing_ms), now_ms + longest);
  return time_ms{static_cast<std::int64_t>(std::ceil(last_told_ - now_ms))};
}

time_ms return_schedule::next(const refused_call& call, time_ms now) noexcept {
  return turn(call, now).value_or(std::max(call.longest, call.earliest));
}

time_ms return_schedule::take(time_ms wait, time_ms longest, time_ms now) noexcept {
  const auto now_ms = static_cast<double>(now.count());
  last_told_ = std::min(std::max(now_ms + static_cast<double>(wait.count()), last_told_),
                        now_ms + static_cast<double>(longest.count()));
  last_ = std::max(last_, last_told_);
  return time_ms{static_cast<std::int64_t>(std::ceil(last_told_ - now_ms))};
}

} // namespace sedgechute
