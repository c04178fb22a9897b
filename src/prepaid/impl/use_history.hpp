#pragma once

#include "kernel/kernel.hpp"

#include <deque>

namespace sedgechute {

/// \brief A running total of used tokens in the last seconds. Not thread-safe.
class use_history {
 public:
  /// \param longest  longest window that is asked for
  explicit use_history(time_ms longest) : longest_{longest} {}

  /// \brief Adds the total at `now`; times do not decrease.
  void note(time_ms now, double total);
  /// \returns tokens per second used in the last `window` before the newest total; 0 if only one
  /// total is known. Where totals are further apart, the time between two of them counts.
  [[nodiscard]] double rate(time_ms window) const noexcept;

 private:
  struct sample {
    time_ms at;
    double total{};
  };

  time_ms longest_;
  std::deque<sample> samples_;
};

} // namespace sedgechute
