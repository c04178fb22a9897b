#include "ledger/impl/entry_role.hpp"

#include <utility>

namespace sedgechute::ledger {

// A holder in the same data centre goes on when the data centre is cut off. Failing that, the
// holder with most left is asked, because near exhaustion the others have nothing.
name_index entry_role::pick_holder(const attempt& a) const {
  if (a.prior != no_name && context_.live.is_live(a.prior))
    return a.prior;
  name_index best = no_name;
  token_count most = 0;
  bool best_is_near = false;
  context_.state.for_each_of(a.team, [&](const delegation& d) {
    if (d.state != delegation_state::live || d.holder == a.avoid ||
        !context_.live.is_live(d.holder))
      return;
    const bool near = d.data_centre == context_.data_centre();
    const bool better = near != best_is_near ? near : d.remainder() > most;
    if (best != no_name && !better && d.holder != context_.self_index())
      return;
    if (best == context_.self_index())
      return;
    best = d.holder;
    best_is_near = near;
    most = d.remainder();
  });
  if (best != no_name)
    return best;
  const std::uint64_t hash = stable_hash(context_.state.team_name(a.team).str());
  return context_.live.place(hash, no_name, a.avoid);
}

budget_decision entry_role::reserve(time_ms now, const budget_request& request) {
  const ticket_number ticket = ++last_ticket_;
  attempt& a = attempts_[ticket];
  a.team = context_.state.intern_team(request.team);
  a.key = request.key;
  a.bound = request.bound;
  a.deadline = now + context_.options().reserve_wait;
  if (request.prior_holder)
    a.prior = context_.state.intern_host(*request.prior_holder);
  a.holder = pick_holder(a);
  unfinished_.insert(ticket);
  const std::size_t decided = context_.out.decisions.size();
  ask(now, ticket, a);
  deliver_local(now);
  // A local holder usually decides at once; then the decision is returned rather than queued.
  for (std::size_t i = decided; i < context_.out.decisions.size(); ++i) {
    if (context_.out.decisions[i].ticket != ticket)
      continue;
    budget_decision decision = std::move(context_.out.decisions[i]);
    context_.out.decisions.erase(context_.out.decisions.begin() + static_cast<std::ptrdiff_t>(i));
    return decision;
  }
  return {ticket, budget_outcome::pending, {}, 0, 0};
}

void entry_role::ask(time_ms now, ticket_number ticket, attempt& a) {
  a.sent = now;
  if (a.holder == no_name)
    return;
  reserve_request request{ticket, {}, a.key, a.bound, a.deadline - now};
  if (a.holder == context_.self_index()) {
    holder_.reserve(now, a.team, {a.holder, ticket}, request);
    return;
  }
  request.team = context_.state.team_name(a.team);
  context_.send(a.holder, std::move(request));
}

void entry_role::deliver_local(time_ms now) {
  while (!context_.local_replies.empty()) {
    const reserve_reply reply = context_.local_replies.back();
    context_.local_replies.pop_back();
    on_reply(now, context_.self_index(), reply);
  }
}

void entry_role::on_reply(time_ms now, name_index from, const reserve_reply& message) {
  const auto found = attempts_.find(message.ticket);
  const bool expected = found != attempts_.end() && found->second.holder == from;
  // An answer that nobody waits for any more needs nothing here: the holder asks about the
  // reservation later and is told to withdraw it.
  if (!expected || found->second.where != phase::asking)
    return;
  attempt& a = found->second;
  switch (message.verdict) {
  case reserve_verdict::granted:
    a.where = phase::open;
    a.epoch = message.epoch;
    a.bound = message.bound;
    unfinished_.erase(message.ticket);
    decide(message.ticket, a, budget_outcome::granted, message.bound);
    return;
  case reserve_verdict::already_settled:
    decide(message.ticket, a, budget_outcome::already_settled, message.bound);
    break;
  case reserve_verdict::exhausted:
    decide(message.ticket, a, budget_outcome::exhausted, 0);
    break;
  case reserve_verdict::unreachable:
    decide(message.ticket, a, budget_outcome::unreachable, 0);
    break;
  case reserve_verdict::elsewhere:
    a.avoid = from;
    ask_again(now, message.ticket, a);
    return;
  }
  unfinished_.erase(message.ticket);
  attempts_.erase(found);
}

void entry_role::decide(ticket_number ticket, const attempt& a, budget_outcome outcome,
                        token_count bound) {
  budget_decision decision{ticket, outcome, {}, a.epoch, bound};
  if (a.holder != no_name)
    decision.holder = context_.state.host(a.holder);
  context_.out.decisions.push_back(std::move(decision));
}

void entry_role::ask_again(time_ms now, ticket_number ticket, attempt& a) {
  const name_index holder = pick_holder(a);
  if (holder == a.avoid || holder == no_name)
    return;
  if (holder != a.holder)
    change_holder(now, ticket, a, holder);
  else
    ask(now, ticket, a);
}

// The holder asked before may have reserved without our knowing.
void entry_role::change_holder(time_ms now, ticket_number ticket, attempt& a, name_index holder) {
  if (a.holder == context_.self_index())
    tell_holder(now, ticket, a, settle_kind::withdraw, 0);
  else if (a.holder != no_name)
    send_withdraw(a.holder, ticket, context_.state.team_name(a.team), a.key);
  a.holder = holder;
  ask(now, ticket, a);
}

void entry_role::send_withdraw(name_index to, ticket_number ticket, const team_id& team,
                               const request_id& key) {
  context_.send(to, settle_request{ticket, team, key, settle_kind::withdraw, 0});
}

void entry_role::tell_holder(time_ms now, ticket_number ticket, attempt& a, settle_kind kind,
                             token_count tokens) {
  settle_request request{ticket, {}, a.key, kind, tokens};
  if (a.holder == context_.self_index()) {
    holder_.settle(now, a.team, {a.holder, ticket}, request);
    return;
  }
  request.team = context_.state.team_name(a.team);
  a.sent = now;
  if (kind != settle_kind::shrink && kind != settle_kind::withdraw) {
    a.where = phase::settling;
    a.since = now;
    a.settling = request;
    unfinished_.insert(ticket);
  }
  context_.send(a.holder, std::move(request));
}

void entry_role::shrink(time_ms now, ticket_number ticket, token_count bound) {
  const auto found = attempts_.find(ticket);
  if (found == attempts_.end() || found->second.where != phase::open ||
      bound >= found->second.bound)
    return;
  found->second.bound = bound;
  tell_holder(now, ticket, found->second, settle_kind::shrink, bound);
  deliver_local(now);
}

void entry_role::settle(time_ms now, ticket_number ticket, std::optional<token_count> used) {
  end(now, ticket, used ? settle_kind::settle : settle_kind::no_usage, used.value_or(0));
}

void entry_role::disown(time_ms now, ticket_number ticket) {
  end(now, ticket, settle_kind::disown, 0);
}

void entry_role::end(time_ms now, ticket_number ticket, settle_kind kind, token_count tokens) {
  const auto found = attempts_.find(ticket);
  if (found == attempts_.end() || found->second.where != phase::open)
    return;
  tell_holder(now, ticket, found->second, kind, tokens);
  if (found->second.where != phase::settling)
    attempts_.erase(found);
  deliver_local(now);
}

void entry_role::withdraw(time_ms now, ticket_number ticket) {
  const auto found = attempts_.find(ticket);
  if (found == attempts_.end() || found->second.where == phase::settling)
    return;
  attempt& a = found->second;
  if (a.holder != no_name)
    tell_holder(now, ticket, a, settle_kind::withdraw, 0);
  unfinished_.erase(ticket);
  attempts_.erase(ticket);
  deliver_local(now);
}

void entry_role::on_message(time_ms, name_index, const settle_reply& message) {
  const auto found = attempts_.find(message.ticket);
  if (found == attempts_.end() || found->second.where != phase::settling)
    return;
  unfinished_.erase(message.ticket);
  attempts_.erase(found);
}

// Only an attempt that this host does not know, or holds with another host, is withdrawn.
void entry_role::on_message(time_ms, name_index from, const reservation_probe& message) {
  const auto found = attempts_.find(message.ticket);
  if (found != attempts_.end() && found->second.holder == from)
    return;
  send_withdraw(from, message.ticket, message.team, message.key);
}

bool entry_role::settled_or_lost(time_ms now, ticket_number ticket, attempt& a) {
  const ledger_options& options = context_.options();
  const bool lost = !context_.live.is_live(a.holder) &&
                    now - context_.live.missed_since(a.holder) >= options.settle_give_up;
  if (lost && now - a.since >= options.settle_give_up)
    return true;
  const std::int64_t patience = context_.live.is_live(a.holder) ? 1 : 8;
  if (now - a.sent >= options.message_resend * patience) {
    a.sent = now;
    static_cast<void>(ticket);
    context_.send(a.holder, a.settling);
  }
  return false;
}

void entry_role::tick(time_ms now) {
  deliver_local(now);
  const std::vector<ticket_number> unfinished{unfinished_.begin(), unfinished_.end()};
  for (const ticket_number ticket : unfinished) {
    const auto found = attempts_.find(ticket);
    if (found == attempts_.end())
      continue;
    attempt& a = found->second;
    if (a.where == phase::settling) {
      if (settled_or_lost(now, ticket, a)) {
        unfinished_.erase(ticket);
        attempts_.erase(ticket);
      }
      continue;
    }
    if (now >= a.deadline) {
      decide(ticket, a, budget_outcome::unreachable, 0);
      withdraw(now, ticket);
    } else if (now - a.sent >= context_.options().message_resend) {
      a.avoid = no_name;
      ask_again(now, ticket, a);
    }
  }
  deliver_local(now);
}

} // namespace sedgechute::ledger
