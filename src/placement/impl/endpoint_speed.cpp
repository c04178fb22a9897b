#include "placement/impl/endpoint_speed.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// As much as this number of answers, an endpoint is taken to be like the others of its service.
constexpr double prior_answers = 2;

// Later answers change the factor by a thirtieth of their difference, so that it follows a machine
// that changes for good.
constexpr double least_step = 1.0 / 30;

// The most that one answer counts for, as a natural logarithm: 0.7 is a factor of two. An answer
// that was held up by a lost packet or a pause of the machine says nothing about the speed.
constexpr double most_surprise = 0.7;

// Speeds beyond these factors are errors of measurement.
constexpr double most_log_factor = 2;

constexpr double nearly_full_from = 0.75; ///< part of the slots in use

double ramp(double fill) noexcept {
  return std::clamp((fill - nearly_full_from) / (1 - nearly_full_from), 0.0, 1.0);
}

} // namespace

void endpoint_speed::note(double took_ms, double expected_ms, double fill,
                          const service_times& service) noexcept {
  const double observed = std::log(std::max(took_ms, 0.5) / std::max(expected_ms, 0.5));
  const auto learn = [](double& value, double seen, double answers) {
    const double step = std::max(1 / (prior_answers + answers), least_step);
    value += std::clamp(seen - value, -most_surprise, most_surprise) * step;
    value = std::clamp(value, -most_log_factor, most_log_factor);
  };
  if (ramp(fill) >= 0.5) {
    if (nearly_full_answers_ == 0)
      log_nearly_full_ = std::log(service.nearly_full_factor());
    learn(log_nearly_full_, observed - log_factor_, ++nearly_full_answers_);
    log_nearly_full_ = std::max(0.0, log_nearly_full_);
    nearly_full_ = std::exp(log_nearly_full_);
    return;
  }
  learn(log_factor_, observed, ++answers_);
  factor_ = std::exp(log_factor_);
}

double endpoint_speed::nearly_full_factor(const service_times& service) const noexcept {
  return nearly_full_answers_ == 0 ? service.nearly_full_factor() : nearly_full_;
}

double endpoint_speed::factor(double fill, const service_times& service) const noexcept {
  return factor_ * (1 + (nearly_full_factor(service) - 1) * ramp(fill));
}

} // namespace sedgechute
