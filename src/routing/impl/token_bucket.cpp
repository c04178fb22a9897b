#include "routing/impl/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;

} // namespace

double token_bucket::level_at(time_ms now) const noexcept {
  const double elapsed_s = static_cast<double>((now - updated_).count()) / ms_per_s;
  return std::min(burst_, level_ + rate_ * std::max(0.0, elapsed_s));
}

void token_bucket::configure(double rate, double burst, time_ms now) noexcept {
  level_ = configured_ ? std::min(burst, level_at(now)) : burst;
  configured_ = true;
  rate_ = rate;
  burst_ = burst;
  updated_ = now;
}

time_ms token_bucket::wait_for(double amount, time_ms now) const noexcept {
  if (rate_ <= 0.0)
    return time_ms{0};
  const double missing = std::min(amount, burst_) - level_at(now);
  if (missing <= 0.0)
    return time_ms{0};
  return time_ms{static_cast<std::int64_t>(std::ceil(missing / rate_ * ms_per_s))};
}

void token_bucket::take(double amount, time_ms now) noexcept {
  if (rate_ <= 0.0)
    return;
  level_ = std::min(burst_, level_at(now) - amount);
  updated_ = std::max(updated_, now);
}

} // namespace sedgechute
