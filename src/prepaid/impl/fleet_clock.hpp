#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/clock_reading.hpp"

#include <map>
#include <string>

namespace sedgechute {

/// \brief The machine's boot clock, and the median of several hosts' times of day: one machine's
/// time of day may jump, the median does not. Thread-safe.
class fleet_clock final : public clock {
 public:
  explicit fleet_clock(const clock& since_start) : since_start_{since_start} {}

  /// \returns time since the machine booted
  [[nodiscard]] time_ms now() const noexcept override { return since_start_.now(); }

  /// \brief Records the time of day that another host has just sent.
  void observe(const std::string& host, time_ms wall);
  [[nodiscard]] clock_reading reading() const;
  /// \returns an earlier reading of this process with its time of day recomputed from the clocks
  /// known now
  [[nodiscard]] clock_reading restated(const clock_reading& earlier) const;

 private:
  struct sample {
    time_ms offset; ///< the host's time of day minus this machine's boot clock
    time_ms at;
  };

  const clock& since_start_;
  mutable ordered_mutex mutex_{lock_rank::outbox};
  std::map<std::string, sample> hosts_;
};

} // namespace sedgechute
