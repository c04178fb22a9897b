#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/clock_reading.hpp"

#include <map>
#include <string>

namespace sedgechute {

/// \brief This machine's clock since its start, and the time of day as most hosts see it. One
/// machine's time of day may jump; the median of several does not. Thread-safe.
class fleet_clock final : public clock {
 public:
  explicit fleet_clock(const clock& since_start) : since_start_{since_start} {}

  /// \returns time since the machine was started
  [[nodiscard]] time_ms now() const noexcept override { return since_start_.now(); }

  /// \brief Another host has just told its time of day.
  void observe(const std::string& host, time_ms wall);
  [[nodiscard]] clock_reading reading() const;
  /// \returns an earlier moment of this life of the process, by what is known of clocks now
  [[nodiscard]] clock_reading restated(const clock_reading& earlier) const;

 private:
  struct sample {
    time_ms offset; ///< its time of day, less this machine's time since its start
    time_ms at;
  };

  const clock& since_start_;
  mutable ordered_mutex mutex_{lock_rank::outbox};
  std::map<std::string, sample> hosts_;
};

} // namespace sedgechute
