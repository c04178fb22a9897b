#include "prepaid/impl/recent_demand.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// Callers move between hosts within seconds, so older demand predicts little.
constexpr double time_constant_ms = 1000;

// Two requests that arrive together are no rate of many thousands a second.
constexpr double least_span_ms = 500;

double decay(time_ms span) noexcept {
  return std::exp(-static_cast<double>(span.count()) / time_constant_ms);
}

} // namespace

// A single request is no rate: most hosts of a large fleet get one request of a small team every
// few seconds, and tokens that they kept for the next one would lie idle.
void recent_demand::note(std::uint64_t tokens, time_ms now) noexcept {
  if (idle(now)) {
    first_ = now;
    tokens_ = 0;
  } else {
    tokens_ = tokens_ * decay(now - last_) + static_cast<double>(tokens);
  }
  known_ = true;
  last_ = now;
}

// Divides by the weight of the time that was observed, so that a rate is known soon after the first
// requests.
double recent_demand::rate(time_ms now) const noexcept {
  if (idle(now))
    return 0;
  constexpr double ms_per_second = 1000;
  const auto span = std::max(static_cast<double>((now - first_).count()), least_span_ms);
  const double weight = time_constant_ms * (1 - std::exp(-span / time_constant_ms));
  return tokens_ * decay(now - last_) * ms_per_second / weight;
}

} // namespace sedgechute
