#pragma once

#include "claims/impl/claims_message.hpp"

#include <functional>
#include <optional>

namespace sedgechute {

/// \brief What a holder knows under a key.
struct stored_claim {
  std::optional<claim> committed; ///< stored by the witness as well
  std::optional<claim> proposed;  ///< waits for the witness
};

/// \returns whether `a` is a later state of the claim than `b`; a total order, so that copies
/// converge
[[nodiscard]] bool is_later(const claim& a, const claim& b);

/// \returns the claim as it must be taken if later attempts may have been granted unnoticed: even
/// one that was never dispatched doesn't show that none was
[[nodiscard]] claim assume_may_have_run(claim known);

/// \brief Merges claims of two epochs that did not know of each other. Both may have counted
/// attempts on their own, so the one that is dropped still counts as a run that may have been.
[[nodiscard]] claim merge_forked(const claim& a, const claim& b);

/// \brief What the holder can know of a key before it decides.
struct decision_basis {
  std::optional<stored_claim> stored; ///< nothing if the key is not stored
  bool may_be_lost{};                 ///< may have been claimed under a lost epoch
  bool expired{};                     ///< a minted key older than what is kept
  bool full{};                        ///< no room for another claim
  std::function<bool(const incarnation&)> is_live;
};

/// \brief The verdict on a request, or nothing while the state of the key is about to change.
[[nodiscard]] std::optional<claim_verdict> decide(const claim_request& request,
                                                  const decision_basis& basis);

enum class report_action {
  propose,     ///< have the witness store `next`
  acknowledge, ///< nothing to change
  wait,        ///< another change is under way; the report will be repeated
};

/// \brief What follows from a report of an entry host.
struct report_step {
  report_action action{report_action::wait};
  claim next;
  bool current{}; ///< no later attempt was granted
};

/// \param subject  the attempt as its entry host tells it; attempt 0 gives up a ticket
/// \param stored  what is known under the key
[[nodiscard]] report_step evaluate_report(const claim& subject,
                                          const std::optional<stored_claim>& stored);

/// \returns the claim that a granted request's reply speaks of
/// \param asked  as its entry host asked for it
[[nodiscard]] claim granted_claim(const claim& asked, const claim_reply& reply);

/// \returns the claim to propose for a granted request
[[nodiscard]] claim next_attempt(const claim_request& request,
                                 const std::optional<stored_claim>& stored);

} // namespace sedgechute
