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

// The jitter is smaller than the spacing, so it keeps the order.
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
  return time_ms{static_cast<std::int64_t>(std::ceil(std::min(turn - now_ms + jitter, longest)))};
}

time_ms return_schedule::next(const refused_call& call, time_ms now) noexcept {
  return turn(call, now).value_or(std::max(call.longest, call.earliest));
}

} // namespace sedgechute
