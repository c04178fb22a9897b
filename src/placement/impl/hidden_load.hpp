#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief Estimates the load at an endpoint that comes from hosts of which this one hears nothing,
/// from the endpoint's reports: what they name beyond the load that was known when they came.
class hidden_load {
 public:
  void note(double reported, double known, time_ms now) noexcept;
  /// \returns the load now; nothing while there was no report
  [[nodiscard]] std::optional<double> at(time_ms now) const noexcept;

 private:
  double mean_{};
  double last_{};
  unsigned reports_{};
  time_ms noted_;
};

} // namespace sedgechute
