#include "telemetry/impl/burn_series.hpp"

#include <span>

namespace sedgechute {

namespace {

constexpr std::int64_t minute = 60'000;
constexpr std::int64_t hour = 60 * minute;
constexpr std::int64_t fine_width = minute / 2;
constexpr std::int64_t medium_width = 5 * minute;
constexpr std::int64_t coarse_width = 6 * hour;

template <typename Buckets>
void add(Buckets& ring, std::int64_t width, time_ms now, const good_total& counts) {
  const std::int64_t index = now.count() / width;
  auto& at = ring[static_cast<std::size_t>(index) % ring.size()];
  if (at.index != index)
    at = {.index = index};
  at.good += static_cast<std::uint32_t>(counts.good);
  at.total += static_cast<std::uint32_t>(counts.total);
}

/// Sums the buckets from `first` to `last`; a bucket of an earlier round of the ring is left out.
template <typename Buckets>
good_total sum(const Buckets& ring, std::int64_t first, std::int64_t last) {
  good_total counted;
  for (const auto& at : ring)
    if (at.index >= first && at.index <= last)
      counted += {at.good, at.total};
  return counted;
}

template <typename Buckets>
good_total sum_last(const Buckets& ring, std::int64_t width, time_ms now, time_ms span) {
  const std::int64_t last = now.count() / width;
  return sum(ring, last - span.count() / width, last);
}

} // namespace

time_ms span_of(burn_window window) noexcept {
  constexpr std::array spans{5 * minute, 30 * minute, hour,     2 * hour,
                             6 * hour,   24 * hour,   72 * hour};
  return time_ms{spans[static_cast<std::size_t>(window)]};
}

void burn_series::record(time_ms now, good_total counts) {
  add(fine_, fine_width, now, counts);
  add(medium_, medium_width, now, counts);
  add(coarse_, coarse_width, now, counts);
  all_ += counts;
}

good_total burn_series::over(burn_window window, time_ms now) const {
  const time_ms span = span_of(window);
  if (window == burn_window::m5)
    return sum_last(fine_, fine_width, now, span);
  if (window <= burn_window::h6)
    return sum_last(medium_, medium_width, now, span);
  return sum_last(coarse_, coarse_width, now, span);
}

std::array<good_total, burn_history_points> burn_series::history(time_ms now) const {
  std::array<good_total, burn_history_points> points{};
  const std::int64_t last = now.count() / medium_width;
  for (const bucket& at : medium_) {
    const std::int64_t age = last - at.index;
    if (at.index >= 0 && age >= 0 && age < static_cast<std::int64_t>(points.size()))
      points[points.size() - 1 - static_cast<std::size_t>(age)] = {at.good, at.total};
  }
  return points;
}

} // namespace sedgechute
