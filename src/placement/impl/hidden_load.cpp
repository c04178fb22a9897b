#include "placement/impl/hidden_load.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Most requests that a report names have had their first event after this time.
constexpr double report_lifetime_ms = 200;

// The mean covers the last twenty reports.
constexpr double least_step = 0.05;

} // namespace

void hidden_load::note(double reported, double known, time_ms now) noexcept {
  last_ = reported - known;
  ++reports_;
  mean_ += (last_ - mean_) * std::max(1.0 / reports_, least_step);
  noted_ = now;
}

std::optional<double> hidden_load::at(time_ms now) const noexcept {
  if (reports_ == 0)
    return std::nullopt;
  const double age = static_cast<double>((now - noted_).count());
  const double kept = std::clamp(1 - age / report_lifetime_ms, 0.0, 1.0);
  return std::max(0.0, mean_ + (last_ - mean_) * kept);
}

} // namespace sedgechute
