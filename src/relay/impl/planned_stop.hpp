#pragma once

#include "routing/impl/stop_policy.hpp"

#include <atomic>

namespace sedgechute {

/// \brief Progress of the planned stop of this host, for all components that serve requests.
/// Thread-safe.
class planned_stop {
 public:
  planned_stop(const stop_bounds& bounds, const clock& time);

  void begin() noexcept;
  /// \brief Closes connections that wait for their next request.
  void close_idle() noexcept { idle_.open(); }
  /// \brief Stops accepting requests.
  void end_taking() noexcept { taking_ = false; }
  /// \brief Interrupts the waits of requests in flight and stops accepting requests.
  void cut() noexcept;

  [[nodiscard]] bool begun() const noexcept { return began_ != not_begun; }
  /// \returns whether requests are accepted: neither `end_taking` nor the cut has happened
  [[nodiscard]] bool taking() const noexcept;
  /// \returns the time since `begin`; 0 before
  [[nodiscard]] time_ms since() const noexcept;
  /// \returns whether a new request of the forecast duration may be accepted
  [[nodiscard]] bool may_take(const run_forecast& run) const noexcept;
  /// \returns whether the process may exit with `open` requests in flight
  [[nodiscard]] bool may_end(std::size_t open) const noexcept;
  [[nodiscard]] bool notice_over() const noexcept;
  /// \brief Descriptors that become readable at `close_idle` and at the cut.
  [[nodiscard]] int idle_descriptor() const noexcept { return idle_.descriptor(); }
  [[nodiscard]] int cut_descriptor() const noexcept { return cut_.descriptor(); }

 private:
  static constexpr std::int64_t not_begun = -1;

  stop_bounds bounds_;
  const clock& time_;
  std::atomic<std::int64_t> began_{not_begun}; ///< time of `begin` in ms
  std::atomic<bool> taking_{true};
  latch_pipe idle_;
  latch_pipe cut_;
};

} // namespace sedgechute
