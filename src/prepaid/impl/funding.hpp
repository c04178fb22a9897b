#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>

namespace sedgechute {

/// \brief A request whose host has too few tokens, and what it has tried.
struct unfunded_request {
  time_ms now;
  time_ms began;            ///< when it began to wait
  time_ms max_wait;         ///< for loans and the log together
  time_ms max_promise_wait; ///< while the log does not answer
  bool holds{true};         ///< whether this host holds tokens of the team
  bool can_borrow{false};
  bool knows_lender{true};    ///< another host holds tokens of the team, as far as the log was read
  bool loan_under_way{false}; ///< loans that others wait for will cover it too
  int loans{0};               ///< rounds of questions that it sent since the last read
  time_ms last_loan;          ///< end of the last of them
  bool log_answers{false};    ///< lately
  time_ms view_age;           ///< time since the log was read
  int reads{0};               ///< reads of the log that it waited for
  bool log_helps{false};      ///< the log answers, and its next record can cover the request
  int syncs{0};               ///< synchronizations that it waited for
  std::optional<time_ms> covered_after; ///< time until this host's promise covers it, if ever
};

enum class funding_step {
  borrow,  ///< ask other hosts
  join,    ///< wait for the loan under way
  read,    ///< wait for the next read of the log, which may name a lender
  sync,    ///< wait for the next synchronization with the log
  pause,   ///< wait until `until`, or until tokens arrive
  promise, ///< wait for this host's promise to grow
  refuse,
};

struct funding_plan {
  funding_step step{funding_step::refuse};
  time_ms until;
};

/// \returns how a request gets the tokens that its host lacks
[[nodiscard]] funding_plan plan_funding(const unfunded_request& request) noexcept;

} // namespace sedgechute
