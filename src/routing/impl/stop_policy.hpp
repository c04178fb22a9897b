#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief What bounds the planned stop of a host. Spans count from the signal.
struct stop_bounds {
  time_ms grace{8000}; ///< the process is killed after it
  /// Until a balancer that looks once a second, and believes the second miss, sends callers to
  /// other hosts.
  time_ms notice{2600};
  /// At the end of the grace, for the last answers and the last words to store and log. Four
  /// partitions are read and appended to in 120 ms when all is well.
  time_ms kept_for_exit{500};
};

/// \returns when what still runs is cut.
[[nodiscard]] time_ms cut_after(const stop_bounds& bounds) noexcept;

/// \brief How long a request is going to run.
struct run_forecast {
  time_ms likely; ///< most of its kind end within it
  time_ms surely; ///< its own limit
};

/// \brief Decides about a request that comes `since` the signal.
[[nodiscard]] bool may_take(const stop_bounds& bounds, time_ms since,
                            const run_forecast& run) noexcept;

/// \brief Decides whether the host may end now.
/// \param open  requests that arrive or run
[[nodiscard]] bool may_end(const stop_bounds& bounds, time_ms since, std::size_t open) noexcept;

/// \brief The longest that each step of the exit may take; together less than is kept for it.
struct exit_spans {
  time_ms answers;  ///< callers take what was written to them
  time_ms exchange; ///< the store takes tokens back
  time_ms lines;    ///< the log's reader takes the last lines
};

/// \param since  the signal, when the exit begins
[[nodiscard]] exit_spans spans_of_exit(const stop_bounds& bounds, time_ms since) noexcept;

/// \brief Why bounds cannot be kept.
enum class stop_fault {
  none,
  no_time,        ///< all of the grace is kept for the exit
  notice_too_long ///< requests would be cut within the notice
};

[[nodiscard]] stop_fault fault_of(const stop_bounds& bounds) noexcept;

} // namespace sedgechute
