#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief One refusal whose caller is to be told when to return.
struct refused_call {
  time_ms earliest;           ///< until capacity is expected at the soonest
  time_ms longest;            ///< of use to the caller, whose own time is limited
  double served_per_second{}; ///< returning requests that can be served
  double drawn;               ///< uniform random number in [0, 1) for the jitter
};

/// \brief Computes `Retry-After` so that callers return in the order in which they were refused, as
/// fast as requests are served. Not thread-safe.
class return_schedule {
 public:
  /// \returns the time until the caller's turn; nothing when the caller cannot wait that long, and
  /// it takes no turn
  [[nodiscard]] std::optional<time_ms> turn(const refused_call& call, time_ms now) noexcept;
  /// \returns the time until the caller of a refused request should return: its turn, or else the
  /// longest time that it can wait
  [[nodiscard]] time_ms next(const refused_call& call, time_ms now) noexcept;
  /// \brief Records a return that another schedule gave.
  /// \param wait  until that return; postponed if it would be before the last one here
  /// \returns the time until the return, at most `longest`
  [[nodiscard]] time_ms take(time_ms wait, time_ms longest, time_ms now) noexcept;

 private:
  double last_{0};      ///< last turn, in ms
  double last_told_{0}; ///< last return that a caller was told, in ms
};

} // namespace sedgechute
