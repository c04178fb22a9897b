#include "prepaid/impl/use_history.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Hosts that request tokens from the log synchronize up to fifty times per second; totals that
// close together add no information.
constexpr time_ms min_distance{50};

constexpr double ms_per_second = 1000;

} // namespace

void use_history::note(time_ms now, double total) {
  if (samples_.size() > 1 && now - samples_[samples_.size() - 2].at < min_distance)
    samples_.back() = {now, total};
  else
    samples_.push_back({now, total});
  while (samples_.size() > 2 && now - samples_[1].at >= longest_)
    samples_.pop_front();
}

double use_history::rate(time_ms window) const noexcept {
  if (samples_.size() < 2)
    return 0;
  const sample& newest = samples_.back();
  const auto last_before = std::find_if(samples_.rbegin(), samples_.rend(), [&](const sample& one) {
    return newest.at - one.at >= window;
  });
  const sample& from = last_before == samples_.rend() ? samples_.front() : *last_before;
  // Tokens that were reserved and not used lower the total.
  const double used = std::max(newest.total - from.total, 0.0);
  const double elapsed = static_cast<double>((newest.at - from.at).count());
  return elapsed <= 0 ? 0 : used * ms_per_second / elapsed;
}

} // namespace sedgechute
