#pragma once

#include "kernel/kernel.hpp"

#include <optional>
#include <string>

namespace sedgechute {

/// \brief What bounds the planned stop of a host. Spans count from the signal.
struct stop_bounds {
  time_ms grace{8000}; ///< the process is killed after it
  /// Until a balancer that looks once a second, and believes the second miss, sends callers to
  /// other hosts.
  time_ms notice{2600};
  /// At the end of the grace, for the last words to the store and to the log: the answer of a slow
  /// store takes 200 ms, and the log 150.
  time_ms kept_for_exit{500};
};

/// \returns when what still runs is cut.
[[nodiscard]] time_ms cut_after(const stop_bounds& bounds) noexcept;

/// \brief How long a request is going to run.
struct run_forecast {
  time_ms likely; ///< three of four end within it
  time_ms surely; ///< as good as all do
};

/// \brief Decides about a request that comes `since` the signal.
[[nodiscard]] bool may_take(const stop_bounds& bounds, time_ms since,
                            const run_forecast& run) noexcept;

/// \brief Decides whether the host may end now.
/// \param open  requests that run
[[nodiscard]] bool may_end(const stop_bounds& bounds, time_ms since, std::size_t open) noexcept;

/// \returns what contradicts what, in words; nothing when the bounds can be kept
[[nodiscard]] std::optional<std::string> fault_of(const stop_bounds& bounds);

} // namespace sedgechute
