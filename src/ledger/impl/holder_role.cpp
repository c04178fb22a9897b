// Reservations and bills of a holder.

#include "ledger/impl/holder_role.hpp"

#include <algorithm>

namespace sedgechute::ledger {

account& holder_role::account_of(time_ms now, name_index team) {
  std::unique_ptr<account>& place = accounts_[team];
  if (!place) {
    place = std::make_unique<account>();
    place->team = team;
    place->team_hash = stable_hash(context_.state.team_name(team).str());
    place->last_used = now;
    place->rates_at = now;
    place->rates_since = now;
    place->team_spent = context_.state.totals(team).spent;
    place->origins_since = now;
  }
  return *place;
}

const account* holder_role::find(name_index team) const {
  const auto found = accounts_.find(team);
  return found == accounts_.end() ? nullptr : found->second.get();
}

slice* holder_role::slice_of(name_index team, epoch_number epoch) {
  const auto found = accounts_.find(team);
  return found == accounts_.end() ? nullptr : found->second->find(epoch);
}

void holder_role::reserve(time_ms now, name_index team, const attempt_id& attempt,
                          const reserve_request& request) {
  account& a = account_of(now, team);
  a.last_used = now;
  if (join_reservation(now, a, attempt, request))
    return;
  if (draining_) {
    context_.reply(attempt, {0, reserve_verdict::elsewhere, 0, 0});
    return;
  }
  if (is_forgotten(attempt)) {
    context_.reply(attempt, {0, reserve_verdict::unreachable, 0, 0});
    return;
  }
  count_origin(now, a, attempt.entry);
  a.largest_bound = std::max(a.largest_bound, request.bound);
  if (const delegation* const other = collector(a)) {
    context_.reply(attempt, {0, reserve_verdict::elsewhere, other->epoch, 0});
    return;
  }
  const bool fits = a.waiting.empty() && !must_return_tokens(a) &&
                    try_reserve(now, a, attempt, request.key, request.bound);
  if (!fits)
    a.waiting.push_back({attempt, request.key, request.bound, now, now + request.wait});
  const slice* const s = a.live_slice();
  if (!fits || s->free() < chunk_size(a) || s->unopened() < s->granted / 4)
    advance(now, a);
}

// Copies of a reservation request and of its settlement may both arrive after the billed
// reservation was forgotten, and would be billed a second time. Tickets of an entry host ascend and
// wait only seconds, so a ticket at or below a forgotten one belongs to such a copy.
bool holder_role::is_forgotten(const attempt_id& attempt) const {
  const auto found = forgotten_upto_.find(attempt.entry);
  return found != forgotten_upto_.end() && attempt.ticket <= found->second &&
         !context_.is_injected(mutation::forget_tickets);
}

void holder_role::forget(const reservation_key& key, const reservation& r) {
  for (const attempt_id& attempt : r.attempts) {
    ticket_number& upto = forgotten_upto_[attempt.entry];
    upto = std::max(upto, attempt.ticket);
  }
  reservations_.erase(key);
}

// All attempts of a request share one reservation, so that there is one bill however many attempts
// run, and a repeated or late reservation request creates no second reservation.
bool holder_role::join_reservation(time_ms now, account& a, const attempt_id& attempt,
                                   const reserve_request& request) {
  const auto waits = [&](const waiting_attempt& w) { return w.attempt == attempt; };
  if (std::any_of(a.waiting.begin(), a.waiting.end(), waits))
    return true;
  reservation* const r = reservations_.find({a.team, request.key});
  if (r == nullptr)
    return false;
  if (r->state == reservation_state::settled) {
    context_.reply(attempt, {0, reserve_verdict::already_settled, r->epoch, r->bill});
    return true;
  }
  slice* const s = a.usable(r->epoch);
  if (r->state == reservation_state::orphaned) {
    r->state = reservation_state::open;
    reservations_.schedule_check({a.team, request.key}, *r, now + context_.options().probe_after);
    if (s != nullptr) {
      s->lost -= r->bound;
      s->reserved += r->bound;
    }
  }
  if (s != nullptr && request.bound > r->bound && s->state == slice_state::live) {
    const token_count more = std::min(request.bound - r->bound, s->free());
    s->reserved += more;
    r->bound += more;
  }
  if (std::find(r->attempts.begin(), r->attempts.end(), attempt) == r->attempts.end())
    r->attempts.push_back(attempt);
  context_.reply(attempt, {0, reserve_verdict::granted, r->epoch, r->bound});
  return true;
}

bool holder_role::try_reserve(time_ms now, account& a, const attempt_id& attempt,
                              const request_id& key, token_count bound) {
  slice* const s = a.live_slice();
  if (s == nullptr || s->free() < bound)
    return false;
  s->reserved += bound;
  a.reserved_since_tick += bound;
  reservation made;
  made.epoch = s->epoch;
  made.bound = bound;
  made.attempts.push_back(attempt);
  reservations_.add({a.team, key}, std::move(made), now + context_.options().probe_after);
  context_.reply(attempt, {0, reserve_verdict::granted, s->epoch, bound});
  return true;
}

void holder_role::settle(time_ms now, name_index team, const attempt_id& attempt,
                         const settle_request& request) {
  account& a = account_of(now, team);
  const reservation_key key{team, request.key};
  reservation* const r = reservations_.find(key);
  // A very late copy of a settlement may find a reservation of the key made by another attempt.
  const bool concerned =
      r != nullptr && r->state != reservation_state::settled &&
      std::find(r->attempts.begin(), r->attempts.end(), attempt) != r->attempts.end();
  if (concerned)
    apply_settle(now, a, key, *r, attempt, request);
  if (request.kind == settle_kind::withdraw)
    std::erase_if(a.waiting, [&](const waiting_attempt& w) { return w.attempt == attempt; });
  if (attempt.entry != context_.self_index())
    context_.send(attempt.entry, settle_reply{request.ticket});
  if (!a.waiting.empty() || !a.token_requests.empty())
    advance(now, a);
}

void holder_role::apply_settle(time_ms now, account& a, const reservation_key& key, reservation& r,
                               const attempt_id& attempt, const settle_request& request) {
  switch (request.kind) {
  case settle_kind::settle:
    charge(now, a, key, r, request.tokens);
    break;
  case settle_kind::no_usage:
    charge(now, a, key, r, r.bound);
    break;
  case settle_kind::shrink:
    shrink(a, r, request.tokens);
    break;
  case settle_kind::disown:
    r.disowned = true;
    remove_attempt(now, key, r, attempt);
    break;
  case settle_kind::withdraw:
    remove_attempt(now, key, r, attempt);
    break;
  }
}

void holder_role::shrink(account& a, reservation& r, token_count bound) {
  if (r.state != reservation_state::open)
    return;
  const token_count smaller = std::clamp<token_count>(bound, 0, r.bound);
  if (slice* const s = a.usable(r.epoch))
    s->reserved -= r.bound - smaller;
  r.bound = smaller;
}

// Removing the last attempt frees the tokens, unless an earlier attempt may have used some.
void holder_role::remove_attempt(time_ms now, const reservation_key& key, reservation& r,
                                 const attempt_id& attempt) {
  std::erase(r.attempts, attempt);
  if (!r.attempts.empty())
    return;
  if (!r.disowned) {
    unreserve(now, key.team, r);
    reservations_.erase(key);
  } else if (r.state == reservation_state::open) {
    write_off(now, key, r);
  }
}

// An engine may report more tokens than its limit. Billing more than the reserved bound could
// exceed the team's budget, so the bill is capped at the bound.
void holder_role::charge(time_ms now, account& a, const reservation_key& key, reservation& r,
                         token_count used) {
  token_count charged = std::clamp<token_count>(used, 0, r.bound);
  if (context_.is_injected(mutation::bill_above_bound))
    charged = used;
  if (slice* const s = a.usable(r.epoch)) {
    token_count& from = r.state == reservation_state::orphaned ? s->lost : s->reserved;
    from -= r.bound;
    s->spent += charged;
  }
  a.spent_since_tick += charged;
  r.state = reservation_state::settled;
  r.bill = charged;
  context_.out.bills.push_back({context_.state.team_name(a.team), key.key, r.epoch, charged});
  if (context_.is_injected(mutation::forget_settled))
    reservations_.erase(key);
  else
    reservations_.schedule_check(key, r, now + context_.options().settled_retention);
}

void holder_role::unreserve(time_ms now, name_index team, reservation& r) {
  slice* const s = account_of(now, team).usable(r.epoch);
  if (s == nullptr)
    return;
  token_count& from = r.state == reservation_state::orphaned ? s->lost : s->reserved;
  from -= r.bound;
}

// A data centre that uses the budget through a remote holder is invited to hold a slice of its own,
// so that it can continue when it is partitioned.
void holder_role::count_origin(time_ms now, account& a, name_index entry) {
  const name_index origin = context_.live.data_centre_of(entry);
  if (origin == no_name || origin == context_.data_centre())
    return;
  if (now - a.origins_since > context_.options().busy_span) {
    a.origins.clear();
    a.origins_since = now;
  }
  auto found = std::find_if(a.origins.begin(), a.origins.end(),
                            [&](const origin_count& o) { return o.data_centre == origin; });
  if (found == a.origins.end())
    found = a.origins.insert(found, {origin, 0});
  if (++found->requests != context_.options().busy_requests)
    return;
  const name_index invited = context_.live.rendezvous_host(a.team_hash, origin, no_name);
  if (invited != no_name)
    context_.send(invited, hold_budget{context_.state.team_name(a.team)});
}

void holder_role::check_due_reservations(time_ms now) {
  while (const std::optional<reservation_key> key = reservations_.next_due(now)) {
    reservation* const r = reservations_.find(*key);
    if (r == nullptr || r->next_check > now)
      continue;
    if (r->state == reservation_state::open)
      check_reservation(now, *key, *r);
    else
      forget(*key, *r);
  }
}

// An entry host that dies leaves reservations that are never settled. Their attempts may have used
// up to the bound, so the tokens are not freed; they are not billed either, because a later attempt
// may be billed elsewhere. The bound is written off unless an attempt under the key arrives in
// time. A live entry host that does not know the attempt, because a reply was lost or late,
// withdraws it when probed.
void holder_role::check_reservation(time_ms now, const reservation_key& key, reservation& r) {
  const ledger_options& options = context_.options();
  bool orphaned = true;
  for (const attempt_id& attempt : r.attempts) {
    const bool here = attempt.entry == context_.self_index();
    const bool live = here || context_.live.is_live(attempt.entry);
    if (live || now - context_.live.absent_since(attempt.entry) < options.orphan_wait)
      orphaned = false;
    if (live && !here)
      context_.send(attempt.entry,
                    reservation_probe{attempt.ticket, context_.state.team_name(key.team), key.key});
  }
  if (!orphaned) {
    reservations_.schedule_check(key, r, now + options.probe_after);
    return;
  }
  write_off(now, key, r);
}

void holder_role::write_off(time_ms now, const reservation_key& key, reservation& r) {
  r.state = reservation_state::orphaned;
  if (slice* const s = account_of(now, key.team).usable(r.epoch)) {
    s->reserved -= r.bound;
    s->lost += r.bound;
  }
  reservations_.schedule_check(key, r, now + context_.options().settled_retention);
}

} // namespace sedgechute::ledger
