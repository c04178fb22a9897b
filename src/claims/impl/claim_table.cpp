#include "claims/impl/claim_table.hpp"

#include <algorithm>

namespace sedgechute {

claim_table::~claim_table() {
  erase_if([](const stored_claim&) { return true; });
}

stored_claim* claim_table::find(const claim_id& id) {
  const auto found = claims_.find(id);
  return found == claims_.end() ? nullptr : &found->second;
}

stored_claim& claim_table::insert(const claim_id& id) {
  const auto [place, is_new] = claims_.try_emplace(id);
  if (is_new) {
    ++counts_->total;
    ++counts_->by_team[id.team];
  }
  return place->second;
}

bool claim_table::merge(time_ms now, const claim& subject) {
  stored_claim& stored = insert(subject.id);
  if (stored.committed && !is_later(subject, *stored.committed))
    return same_attempt(subject, *stored.committed) && subject.state == stored.committed->state;
  stored.committed = subject;
  stored.touched = now;
  return true;
}

std::vector<claim> claim_table::committed() const {
  std::vector<claim> all;
  all.reserve(claims_.size());
  for (const auto& [id, stored] : claims_)
    if (stored.committed)
      all.push_back(*stored.committed);
  return all;
}

void claim_table::for_each_proposed(const std::function<void(stored_claim&)>& visit) {
  for (auto& [id, stored] : claims_)
    if (stored.proposed)
      visit(stored);
}

void claim_table::drop_proposals() {
  for (auto& [id, stored] : claims_)
    stored.proposed.reset();
  erase_if([](const stored_claim& stored) { return !stored.committed; });
}

void claim_table::erase_if(const std::function<bool(const stored_claim&)>& is_over) {
  for (auto it = claims_.begin(); it != claims_.end();) {
    if (!is_over(it->second)) {
      ++it;
      continue;
    }
    --counts_->total;
    const auto team = counts_->by_team.find(it->first.team);
    if (--team->second == 0)
      counts_->by_team.erase(team);
    claims_.erase(it++);
  }
}

bool is_later(const claim& a, const claim& b) {
  if (a.attempt != b.attempt)
    return a.attempt > b.attempt;
  return same_attempt(a, b) && a.state > b.state;
}

std::optional<claim_verdict> decide(const claim_request& request, const decision_basis& basis) {
  using enum claim_verdict;
  const stored_claim* stored = basis.stored;
  if (stored != nullptr && stored->proposed)
    return std::nullopt;
  if (stored == nullptr || !stored->committed) {
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
  // A late copy of a request whose attempt has ended already.
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
  // The grant's answer was lost, and the request for it came again.
  if (same_ticket)
    return granted;
  return basis.is_live(known.entry) ? running : granted;
}

claim next_attempt(const claim_request& request, const stored_claim* stored) {
  claim next = request.wanted;
  next.state = request_state::claimed;
  next.attempt = 1;
  next.may_have_run = false;
  if (stored == nullptr || !stored->committed)
    return next;
  const claim& known = *stored->committed;
  next.attempt = known.attempt + 1;
  next.idempotent = known.idempotent && request.wanted.idempotent;
  next.resume_from = known.peer;
  next.may_have_run = known.may_have_run || known.state != request_state::refused;
  return next;
}

} // namespace sedgechute
