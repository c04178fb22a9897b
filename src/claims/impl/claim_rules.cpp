#include "claims/impl/claim_rules.hpp"

#include <algorithm>
#include <tuple>

namespace sedgechute {

namespace {

void add_once(std::vector<incarnation>& list, const incarnation& who) {
  if (std::find(list.begin(), list.end(), who) == list.end())
    list.push_back(who);
}

} // namespace

bool is_later(const claim& a, const claim& b) {
  const auto rank = [](const claim& c) {
    return std::tie(c.attempt, c.entry, c.ticket, c.state, c.may_have_run, c.unfinished);
  };
  return rank(a) > rank(b);
}

claim assume_may_have_run(claim known) {
  known.may_have_run = true;
  if (known.state == request_state::refused)
    known.state = request_state::abandoned;
  return known;
}

claim merge_forked(const claim& a, const claim& b) {
  const auto may_have_run = [](const claim& c) {
    return c.may_have_run || c.state != request_state::refused;
  };
  const bool forked = !same_attempt(a, b);
  claim kept = is_later(a, b) ? a : b;
  const claim& other = is_later(a, b) ? b : a;
  kept.may_have_run = kept.may_have_run || other.may_have_run || (forked && may_have_run(other));
  for (const incarnation& entry : other.unfinished)
    add_once(kept.unfinished, entry);
  if (forked && !is_final(other.state))
    add_once(kept.unfinished, other.entry);
  return kept;
}

std::optional<claim_verdict> decide(const claim_request& request, const decision_basis& basis) {
  using enum claim_verdict;
  const std::optional<stored_claim>& stored = basis.stored;
  if (stored && stored->proposed)
    return std::nullopt;
  if (!stored || !stored->committed) {
    if (basis.expired)
      return expired;
    if (basis.may_be_lost)
      return unknown;
    return basis.full ? full : granted;
  }
  const claim& known = *stored->committed;
  if (!request.look_up && known.fingerprint != request.wanted.fingerprint)
    return key_reused;
  const bool same_ticket =
      known.entry == request.wanted.entry && known.ticket == request.wanted.ticket;
  // A late copy of a request whose attempt has already ended.
  if (same_ticket && is_final(known.state))
    return std::nullopt;
  switch (known.state) {
  case request_state::refused:
    return granted;
  case request_state::answered:
    if (!request.answer_lost && (basis.is_live(known.entry) || basis.is_live(known.peer)))
      return answered;
    return known.idempotent ? granted : unknown;
  case request_state::abandoned:
    return known.idempotent ? granted : unknown;
  default:
    break;
  }
  // The reply with the grant was lost, and the request was repeated.
  if (same_ticket)
    return granted;
  if (basis.is_live(known.entry))
    return running;
  return known.unfinished.size() < max_unfinished ? granted : unknown;
}

namespace {

// The attempt was granted under an epoch whose holder and witness are lost, and this holder learns
// of it only from the entry host. A later attempt may have been granted under that epoch too.
report_step adopt(const claim& subject) {
  return {report_action::propose, assume_may_have_run(subject)};
}

report_step give_up(const claim& subject, const stored_claim& stored) {
  const std::optional<claim>& latest = stored.proposed ? stored.proposed : stored.committed;
  const bool granted = latest && latest->ticket == subject.ticket && latest->entry == subject.entry;
  if (!granted || (is_final(latest->state) && !stored.proposed))
    return {report_action::acknowledge, {}, false};
  report_step step{report_action::propose, *latest};
  if (may_become(latest->state, request_state::refused))
    step.next.state = request_state::refused;
  return step;
}

} // namespace

report_step evaluate_report(const claim& subject, const std::optional<stored_claim>& stored) {
  if (!stored)
    return subject.attempt == 0 ? report_step{report_action::acknowledge, {}, false}
                                : adopt(subject);
  if (subject.attempt == 0)
    return give_up(subject, *stored);
  const claim& latest = stored->proposed ? *stored->proposed : *stored->committed;
  if (subject.attempt > latest.attempt)
    return stored->proposed ? report_step{} : adopt(subject);
  if (!same_attempt(latest, subject))
    return {report_action::acknowledge, {}, false};
  if (may_become(latest.state, subject.state))
    return {report_action::propose, subject};
  // A repeated report is acknowledged only after the witness has stored the reported state.
  if (stored->proposed)
    return {};
  return {report_action::acknowledge, {}, latest.state == subject.state};
}

claim granted_claim(const claim& asked, const claim_reply& reply) {
  if (reply.current)
    return *reply.current;
  claim granted = asked;
  granted.attempt = 1;
  granted.state = request_state::claimed;
  return granted;
}

claim next_attempt(const claim_request& request, const std::optional<stored_claim>& stored) {
  claim next = request.wanted;
  next.state = request_state::claimed;
  next.attempt = 1;
  next.may_have_run = false;
  if (!stored || !stored->committed)
    return next;
  const claim& known = *stored->committed;
  next.attempt = known.attempt + 1;
  next.idempotent = known.idempotent && request.wanted.idempotent;
  next.resume_from = known.peer;
  next.unfinished = known.unfinished;
  if (!is_final(known.state))
    add_once(next.unfinished, known.entry);
  next.may_have_run = known.may_have_run || known.state != request_state::refused;
  return next;
}

} // namespace sedgechute
