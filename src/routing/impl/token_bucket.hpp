#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Token bucket rate limiter. A charge larger than the burst passes when the bucket is full
/// and leaves a negative level, so that a large request does not wait forever.
class token_bucket {
 public:
  /// \brief Sets the rate and burst; a new bucket starts full.
  /// \param rate   units per second; 0 means no limit
  /// \param burst  units that may be taken at once
  void configure(double rate, double burst, time_ms now) noexcept;

  /// \returns the time until `amount` can be taken; zero if it can be taken now
  [[nodiscard]] time_ms wait_for(double amount, time_ms now) const noexcept;

  /// \brief Takes `amount` regardless of the level; a negative amount is refunded.
  void take(double amount, time_ms now) noexcept;

 private:
  [[nodiscard]] double level_at(time_ms now) const noexcept;

  double rate_{};
  double burst_{};
  double level_{};
  time_ms updated_;
  bool configured_{};
};

} // namespace sedgechute
