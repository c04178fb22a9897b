#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief A rate limit with a burst. A charge larger than the burst passes when the bucket is full
/// and is then paid off, so that no admissible request waits forever.
class token_bucket {
 public:
  /// \param rate   units per second; 0 means no limit
  /// \param burst  units that may be taken at once
  void configure(double rate, double burst, time_ms now) noexcept;

  /// \returns the wait until `amount` could be taken; zero if it could be now
  [[nodiscard]] time_ms wait_for(double amount, time_ms now) const noexcept;

  /// \brief Takes `amount` regardless of the level; a negative amount gives back.
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
