#pragma once

#include "placement/impl/service_times.hpp"
#include "placement/impl/wait_terms.hpp"

namespace sedgechute {

/// \brief Learns from an endpoint's own answers how slow it is compared with the others of its
/// service, and how much slower it becomes when nearly full. While little is known, it counts as
/// the service does. A single answer changes little, however late it is.
class endpoint_speed {
 public:
  /// \param took_ms      from sending to the first event or the whole answer
  /// \param expected_ms  the same at an endpoint that is as fast as those of the service
  void note(double took_ms, double expected_ms, double fill, const service_times& service) noexcept;
  /// \returns the time that its answers take, as a multiple of what they take in the service
  /// \param fill  part of the slots in use
  [[nodiscard]] double factor(double fill, const service_times& service) const noexcept;
  /// \returns this factor at an endpoint that is not nearly full
  [[nodiscard]] double usual_factor() const noexcept { return factor_; }
  /// \returns the additional factor when it is full
  [[nodiscard]] double nearly_full_factor(const service_times& service) const noexcept;
  /// \returns the number of answers that it has learnt from
  [[nodiscard]] unsigned answers() const noexcept { return answers_; }

 private:
  double log_factor_{};
  double factor_{1}; ///< exponential of the logarithm, which a placement need not compute
  double log_nearly_full_{};
  double nearly_full_{1};
  unsigned answers_{};
  unsigned nearly_full_answers_{};
};

} // namespace sedgechute
