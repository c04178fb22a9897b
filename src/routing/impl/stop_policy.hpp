#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Durations of a host's graceful shutdown, counted from the signal.
struct stop_bounds {
  time_ms grace{8000}; ///< after it the process is killed
  /// Time until the load balancer sends callers to other hosts. A balancer that checks health once
  /// a second acts on the second failed check.
  time_ms notice{2600};
  /// Part of the grace, at its end, in which the last responses, store exchanges and log lines are
  /// written. Without faults, reading and appending to four partitions takes 120 ms.
  time_ms kept_for_exit{500};
};

/// \returns when requests that still run are cut off
[[nodiscard]] time_ms cut_after(const stop_bounds& bounds) noexcept;

/// \brief Expected duration of a request.
struct run_forecast {
  time_ms likely; ///< most requests of its kind end within it
  time_ms surely; ///< the request's own limit
};

/// \returns whether a request that arrives `since` the signal is accepted
[[nodiscard]] bool may_take(const stop_bounds& bounds, time_ms since,
                            const run_forecast& run) noexcept;

/// \returns whether the host may exit now
/// \param open  requests that arrive or run
[[nodiscard]] bool may_end(const stop_bounds& bounds, time_ms since, std::size_t open) noexcept;

/// \brief Time limit of each step of the exit; the sum is less than `kept_for_exit`.
struct exit_timeouts {
  time_ms answers;  ///< flushing responses to callers
  time_ms exchange; ///< returning tokens to the store
  time_ms lines;    ///< flushing log lines
};

/// \param since  time from the signal to the start of the exit
[[nodiscard]] exit_timeouts exit_timeouts_for(const stop_bounds& bounds, time_ms since) noexcept;

/// \brief Contradiction between bounds.
enum class stop_fault {
  none,
  no_time,        ///< the exit takes all of the grace
  notice_too_long ///< requests would be cut off within the notice
};

[[nodiscard]] stop_fault fault_of(const stop_bounds& bounds) noexcept;

} // namespace sedgechute
