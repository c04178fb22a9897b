#include "routing/impl/run_durations.hpp"

#include <algorithm>
#include <limits>

namespace sedgechute {

namespace {

// With fewer samples, one in ten is less than one request.
constexpr std::size_t min_recorded = 8;

// Configurations add and remove kinds; beyond this bound all samples are dropped.
constexpr std::size_t max_kinds = 512;

constexpr std::size_t whole = 100;

} // namespace

void run_durations::note(const std::string& kind, time_ms length) {
  if (kinds_.size() >= max_kinds && !kinds_.contains(kind))
    kinds_.clear();
  ring& of = kinds_[kind];
  constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
  of.lengths[of.noted % kept] =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(length.count(), 0, longest));
  ++of.noted;
}

std::optional<time_ms> run_durations::within(const std::string& kind, std::size_t percent) const {
  const auto at = kinds_.find(kind);
  if (at == kinds_.end() || at->second.noted < min_recorded)
    return std::nullopt;
  std::array<std::uint32_t, kept> sorted = at->second.lengths;
  const std::size_t count = std::min(at->second.noted, kept);
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
  const std::size_t rank_of = std::min(count * percent / whole, count - 1);
  const auto rank = sorted.begin() + static_cast<std::ptrdiff_t>(rank_of);
  std::nth_element(sorted.begin(), rank, end);
  return time_ms{*rank};
}

} // namespace sedgechute
