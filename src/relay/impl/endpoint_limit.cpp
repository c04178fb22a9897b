#include "relay/impl/endpoint_limit.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double used_fraction = 0.75;
constexpr double ms_per_second = 1000;
constexpr time_ms split_window{4000};

// Longer than the window by what a request may take longer on its way than the one before it.
constexpr time_ms window_margin{200};

// Hosts that hear nothing of a limit together send a quarter of it as trials.
constexpr double trial_fraction = 0.25;
constexpr time_ms min_trial_after{10000};

time_ms from_seconds(double seconds) noexcept {
  constexpr double longest = 1e6;
  return time_ms{static_cast<std::int64_t>(std::min(seconds, longest) * ms_per_second)};
}

} // namespace

limit_split split_endpoint_limit(double per_second, std::size_t hosts) noexcept {
  const double seconds = static_cast<double>(split_window.count()) / ms_per_second;
  const auto requests = static_cast<std::size_t>(per_second * used_fraction * seconds);
  if (requests == 0)
    return {1, 1, from_seconds(1 / (per_second * used_fraction)) + window_margin};
  const std::size_t senders = std::min(hosts, requests);
  return {senders, requests / senders, split_window + window_margin};
}

time_ms limit_trial_after(double per_second, std::size_t hosts, std::size_t rank) noexcept {
  const auto all = static_cast<double>(hosts);
  const time_ms base = std::max(from_seconds(all / (per_second * trial_fraction)), min_trial_after);
  return base + from_seconds(static_cast<double>(rank) / per_second);
}

endpoint_limit::change endpoint_limit::note_named(double per_second, time_ms now) {
  told_ended_ = false;
  return rate_.note_named(per_second, now);
}

endpoint_limit::change endpoint_limit::note_unnamed(time_ms sent, time_ms now) {
  const change made = rate_.note_unnamed(sent, now);
  if (made != change::none)
    told_ended_ = false;
  return made;
}

endpoint_limit::change endpoint_limit::note_told(double per_second, time_ms age, time_ms now) {
  const time_ms heard_before = heard_at();
  const change made = rate_.note_told(per_second, age, now);
  if (made != change::none || heard_at() != heard_before)
    told_ended_ = false;
  return made;
}

void endpoint_limit::note_told_ended(time_ms age, time_ms now) {
  if (holds() && now - age > heard_at())
    told_ended_ = true;
}

bool endpoint_limit::trial_due(time_ms after, time_ms now) const noexcept {
  return !trial_open_ && (told_ended_ || now - heard_at() >= after);
}

} // namespace sedgechute
