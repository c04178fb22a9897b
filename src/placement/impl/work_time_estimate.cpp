#include "placement/impl/work_time_estimate.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Work times change within 0.6 s, so a figure of that age says nothing more than the mean does.
constexpr double figure_lifetime_ms = 600;

// A figure of 0 or of a thousand times the usual is an error of the endpoint. What its answers
// really take is learnt from them.
constexpr double least_factor = 0.25;
constexpr double most_factor = 8;

// The mean covers the last 12 s or more; it follows a machine that becomes slower for good.
constexpr double most_weight = 20;

} // namespace

// Figures within one lifetime show the same state of the machine: together they count as one.
void work_time_estimate::note(double percent, time_ms now) noexcept {
  last_ = std::clamp(percent / 100, least_factor, most_factor);
  const double counted =
      noted_ ? std::min(1.0, static_cast<double>((now - *noted_).count()) / figure_lifetime_ms)
             : 1.0;
  noted_ = now;
  weight_ = std::min(weight_ + counted, most_weight);
  mean_ += (last_ - mean_) * counted / weight_;
}

double work_time_estimate::at(time_ms now, double unknown) const noexcept {
  if (!noted_)
    return unknown;
  const double age = static_cast<double>((now - *noted_).count());
  const double kept = std::clamp(1 - age / figure_lifetime_ms, 0.0, 1.0);
  return mean_ + (last_ - mean_) * kept;
}

} // namespace sedgechute
