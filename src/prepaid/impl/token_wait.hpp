#pragma once

#include "kernel/kernel.hpp"

#include <optional>

namespace sedgechute {

/// \brief Most synchronizations with the log that one request waits for: the first may have begun
/// before the request arrived.
constexpr int max_syncs = 3;

/// \brief A synchronization with the log normally takes 15 ms. If one takes longer than this the
/// log is unavailable, and its timeout is too long for a request to wait.
constexpr time_ms normal_sync_duration{120};

/// \brief A request whose host has too few tokens at the moment.
struct underfunded_request {
  time_ms now;
  time_ms began;        ///< when the request began to wait
  int syncs{max_syncs}; ///< synchronizations that it has waited for; `max_syncs` if none can help
  std::optional<time_ms> covered_after; ///< time until its host's promise covers it, if ever
  time_ms max_promise_wait;             ///< longest wait for the promise
};

struct token_wait {
  time_ms until;
  bool for_log{false}; ///< wait for a synchronization; else for the promise to grow
};

/// \param longest  longest wait for the log
/// \returns the next wait, or nothing if none can help in time
[[nodiscard]] std::optional<token_wait> plan_token_wait(const underfunded_request& request,
                                                        time_ms longest) noexcept;

} // namespace sedgechute
