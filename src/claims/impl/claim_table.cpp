#include "claims/impl/claim_table.hpp"

#include <algorithm>
#include <tuple>

namespace sedgechute {

namespace {

void add_once(std::vector<incarnation>& list, const incarnation& who) {
  if (std::find(list.begin(), list.end(), who) == list.end())
    list.push_back(who);
}

} // namespace

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
    return *stored.committed == subject;
  stored.committed = subject;
  stored.touched = now;
  return true;
}

void claim_table::merge_regained(time_ms now, const claim& subject) {
  stored_claim& stored = insert(subject.id);
  stored.proposed.reset();
  if (!stored.committed) {
    merge(now, subject);
    return;
  }
  const auto may_have_run = [](const claim& c) {
    return c.may_have_run || c.state != request_state::refused;
  };
  const claim& known = *stored.committed;
  const bool forked = !same_attempt(known, subject);
  claim kept = is_later(subject, known) ? subject : known;
  const claim& other = is_later(subject, known) ? known : subject;
  kept.may_have_run = kept.may_have_run || other.may_have_run || (forked && may_have_run(other));
  for (const incarnation& entry : other.unfinished)
    add_once(kept.unfinished, entry);
  if (forked && !is_final(other.state))
    add_once(kept.unfinished, other.entry);
  stored.committed = kept;
  stored.touched = now;
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
    it = claims_.erase(it);
  }
}

bool is_later(const claim& a, const claim& b) {
  const auto rank = [](const claim& c) {
    return std::tie(c.attempt, c.entry, c.ticket, c.state, c.may_have_run, c.unfinished);
  };
  return rank(a) > rank(b);
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
  if (basis.is_live(known.entry))
    return running;
  return known.unfinished.size() < max_unfinished ? granted : unknown;
}

namespace {

// The attempt was granted under an epoch whose holder and witness are lost, and this holder learns
// of it from the host that ran it. A later attempt may have been granted there as well, so even an
// attempt that was never dispatched doesn't show that none was.
report_step adopt(const claim& subject) {
  report_step step{report_action::propose, subject};
  step.next.may_have_run = true;
  if (subject.state == request_state::refused)
    step.next.state = request_state::abandoned;
  return step;
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

report_step judge_report(const claim& subject, const stored_claim* stored) {
  if (stored == nullptr)
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
  // Repeats are acknowledged only once the witness has stored what they say.
  if (stored->proposed)
    return {};
  return {report_action::acknowledge, {}, latest.state == subject.state};
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
  next.unfinished = known.unfinished;
  if (!is_final(known.state))
    add_once(next.unfinished, known.entry);
  next.may_have_run = known.may_have_run || known.state != request_state::refused;
  return next;
}

} // namespace sedgechute
