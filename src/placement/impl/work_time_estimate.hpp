#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief Estimates how long work takes on an endpoint's machine from the figures that it reports.
/// A figure counts less the older it is; the endpoint's own mean takes its place.
class work_time_estimate {
 public:
  /// \param percent  time that work takes, in percent of the usual time
  void note(double percent, time_ms now) noexcept;
  /// \returns the time that work takes now, as a multiple of the usual time
  /// \param unknown  the result while the endpoint has reported nothing
  [[nodiscard]] double at(time_ms now, double unknown = 1) const noexcept;
  [[nodiscard]] bool noted() const noexcept { return noted_.has_value(); }
  /// \returns the mean of what it has reported; 1 when that is nothing
  [[nodiscard]] double mean() const noexcept { return mean_; }

 private:
  double mean_{1};
  double last_{1};
  double weight_{}; ///< of the figures in the mean
  std::optional<time_ms> noted_;
};

} // namespace sedgechute
