#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief Exchanges with the log that one request waits for: the first may have begun before it
/// came.
constexpr int max_syncs = 3;

/// \brief An exchange with the log takes 15 ms when all is well. One that takes longer than this
/// has met a log that is away, and its time-out is no time for a request to wait.
constexpr time_ms normal_sync_duration{120};

/// \brief A request whose host has too few tokens at this moment.
struct underfunded_request {
  time_ms now;
  time_ms began;        ///< when it began to wait
  int syncs{max_syncs}; ///< with the log that it has waited for; all, if none can help
  std::optional<time_ms> covered_after; ///< until what its host promised covers it, if it ever does
  time_ms max_promise_wait;             ///< longest wait for that
};

struct token_wait {
  time_ms until;
  bool for_log{false}; ///< an exchange is wanted; else the host's promise grows meanwhile
};

/// \param longest  wait for the log
/// \returns nothing when no wait can help in time
[[nodiscard]] std::optional<token_wait> plan_token_wait(const underfunded_request& request,
                                                        time_ms longest) noexcept;

} // namespace sedgechute
