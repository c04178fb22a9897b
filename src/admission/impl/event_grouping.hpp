#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

struct event_grouping_options {
  /// Wake-up delay, relative to the one above which requests are refused, that grouping aims at.
  double target{0.5};
  /// Increase of the level per second at twice the target, and decrease per second without delay.
  double rise{1.0};
  double fall{0.3};
  time_ms max_span{100}; ///< upper bound of the time that one wake-up stands for
};

/// \brief Computes how much an overloaded host groups the events of its streams, from 0 (each is
/// forwarded at once) to 1. Not thread-safe.
class event_grouping {
 public:
  explicit event_grouping(const event_grouping_options& options = {}) : options_{options} {}

  /// \param delay_ratio  mean wake-up delay of threads relative to the one above which requests are
  ///   refused
  /// \param since        time since the last call
  void note_delay(double delay_ratio, time_ms since) noexcept;
  [[nodiscard]] double level() const noexcept { return level_; }

 private:
  event_grouping_options options_;
  double level_{0};
};

/// \brief Bounds on the delay of a stream's events.
struct event_bounds {
  time_ms latency;       ///< from the endpoint to the caller; 0: events are never held back
  time_ms longest_pause; ///< between two events; 0: not bounded
};

/// \param level  see `event_grouping`
/// \returns for how long the next events of a stream are collected before they are forwarded
///   together
[[nodiscard]] time_ms event_delay(double level, const event_bounds& bounds) noexcept;

} // namespace sedgechute
