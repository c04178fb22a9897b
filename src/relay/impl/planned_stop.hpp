#pragma once

#include "routing/impl/stop_policy.hpp"

#include <atomic>

namespace sedgechute {

/// \brief How far the planned stop of this host has come, for all that serves requests.
/// Thread-safe.
class planned_stop {
 public:
  planned_stop(const stop_bounds& bounds, const clock& time);

  void begin() noexcept;
  /// \brief Ends the waits of connections for their next request.
  void close_idle() noexcept { idle_.open(); }
  /// \brief Nothing is taken any more.
  void end_taking() noexcept { taking_ = false; }
  /// \brief Ends the waits of requests that run.
  void cut() noexcept;

  [[nodiscard]] bool begun() const noexcept { return began_ != not_begun; }
  /// \returns whether the cut is still to come, and `end_taking` too
  [[nodiscard]] bool taking() const noexcept;
  /// \brief Since the signal.
  [[nodiscard]] time_ms since() const noexcept;
  [[nodiscard]] bool may_take(const run_forecast& run) const noexcept;
  [[nodiscard]] bool may_end(std::size_t open) const noexcept;
  [[nodiscard]] bool notice_over() const noexcept;
  /// \brief Descriptors that can be read from `close_idle` and from the cut on.
  [[nodiscard]] int idle_descriptor() const noexcept { return idle_.descriptor(); }
  [[nodiscard]] int cut_descriptor() const noexcept { return cut_.descriptor(); }

 private:
  static constexpr std::int64_t not_begun = -1;

  stop_bounds bounds_;
  const clock& time_;
  std::atomic<std::int64_t> began_{not_begun}; ///< ms of the clock
  std::atomic<bool> taking_{true};
  latch_pipe idle_;
  latch_pipe cut_;
};

} // namespace sedgechute
