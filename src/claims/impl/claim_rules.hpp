#pragma once

#include "claims/impl/claims_message.hpp"

#include <functional>
#include <optional>

namespace sedgechute {

/// \brief The states of a claim that a holder stores under a key.
struct stored_claim {
  std::optional<claim> committed; ///< also stored by the witness
  std::optional<claim> proposed;  ///< not yet accepted by the witness
};

/// \returns whether `a` is a later state of the claim than `b`. This is a total order, so that
/// copies converge.
[[nodiscard]] bool is_later(const claim& a, const claim& b);

/// \returns the claim changed to allow for unknown later attempts, which may have run: a refused
/// attempt, which proves that nothing ran, becomes an abandoned one
[[nodiscard]] claim assume_may_have_run(claim known);

/// \brief Merges claims of two epochs that ran concurrently. Both epochs may have granted attempts
/// of the same number, so the attempt that is dropped still counts as one that may have run.
[[nodiscard]] claim merge_forked(const claim& a, const claim& b);

/// \brief The holder's knowledge of a key, on which it decides.
struct decision_basis {
  std::optional<stored_claim> stored; ///< empty if the key is not stored
  bool may_be_lost{};                 ///< a claim under a lost epoch may be unknown here
  bool expired{};                     ///< a minted key older than the retention
  bool full{};                        ///< the limit on stored claims is reached
  std::function<bool(const incarnation&)> is_live;
};

/// \returns the verdict on a request, or nothing if it must not be answered: a proposal on the key
/// waits for the witness, or the request is a late copy
[[nodiscard]] std::optional<claim_verdict> decide(const claim_request& request,
                                                  const decision_basis& basis);

/// \brief What the holder does on a report.
enum class report_action {
  propose,     ///< propose `next` to the witness
  acknowledge, ///< acknowledge; there is nothing to change
  wait,        ///< another proposal waits for the witness; the report will be repeated
};

/// \brief The holder's response to a report of an entry host.
struct report_step {
  report_action action{report_action::wait};
  claim next;
  bool current{}; ///< no later attempt was granted
};

/// \param subject  the attempt as its entry host reports it; attempt 0 gives back a ticket
/// \param stored  the claim stored under the key, if any
[[nodiscard]] report_step evaluate_report(const claim& subject,
                                          const std::optional<stored_claim>& stored);

/// \returns the claim granted by `reply`
/// \param asked  the claim as requested by its entry host
[[nodiscard]] claim granted_claim(const claim& asked, const claim_reply& reply);

/// \returns the claim to propose when `request` is granted
[[nodiscard]] claim next_attempt(const claim_request& request,
                                 const std::optional<stored_claim>& stored);

} // namespace sedgechute
