#include "ledger/impl/entry_role.hpp"

#include <utility>

namespace sedgechute::ledger {

namespace {

// A holder ticket is the attempt's ticket and the number of times that it has changed its holder.
// A late withdrawal then cannot end a newer request that the attempt sent to the same holder.
constexpr unsigned ask_count_bits = 8;
constexpr ticket_number max_ask_count = (1U << ask_count_bits) - 1;

constexpr ticket_number first_holder_ticket(ticket_number ticket) {
  return ticket << ask_count_bits;
}

constexpr ticket_number entry_ticket_of(ticket_number holder_ticket) {
  return holder_ticket >> ask_count_bits;
}

} // namespace

// A holder in the same data centre stays reachable when the data centre is partitioned. Without
// one, the holder with the largest remainder is used, because near exhaustion others have none.
name_index entry_role::pick_holder(const attempt& a) const {
  if (a.prior_holder != no_name && context_.live.is_live(a.prior_holder))
    return a.prior_holder;
  name_index best = no_name;
  token_count most = 0;
  bool best_is_near = false;
  context_.state.for_each_of(a.team, [&](const delegation& d) {
    if (d.state != delegation_state::live || d.holder == a.excluded ||
        !context_.live.is_available(d.holder))
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
  return context_.live.rendezvous_host(hash, no_name, a.excluded);
}

budget_decision entry_role::reserve(time_ms now, const budget_request& request) {
  const ticket_number ticket = ++last_ticket_;
  attempt& a = attempts_[ticket];
  a.holder_ticket = first_holder_ticket(ticket);
  a.team = context_.state.intern_team(request.team);
  a.key = request.key;
  a.bound = request.bound;
  a.deadline = now + context_.options().reserve_wait;
  if (request.prior_holder)
    a.prior_holder = context_.state.intern_host(*request.prior_holder);
  a.holder = pick_holder(a);
  unfinished_.insert(ticket);
  const std::size_t decided = context_.out.decisions.size();
  send_reserve(now, a);
  deliver_local_replies(now);
  // A local holder usually decides at once; its decision is returned rather than queued.
  for (std::size_t i = decided; i < context_.out.decisions.size(); ++i) {
    if (context_.out.decisions[i].ticket != ticket)
      continue;
    budget_decision decision = std::move(context_.out.decisions[i]);
    context_.out.decisions.erase(context_.out.decisions.begin() + static_cast<std::ptrdiff_t>(i));
    return decision;
  }
  return {ticket, budget_outcome::pending, {}, 0, 0};
}

void entry_role::send_reserve(time_ms now, attempt& a) {
  a.sent = now;
  if (a.holder == no_name)
    return;
  reserve_request request{a.holder_ticket, {}, a.key, a.bound, a.deadline - now};
  if (a.holder == context_.self_index()) {
    holder_.reserve(now, a.team, {a.holder, a.holder_ticket}, request);
    return;
  }
  request.team = context_.state.team_name(a.team);
  context_.send(a.holder, std::move(request));
}

void entry_role::deliver_local_replies(time_ms now) {
  while (!context_.local_replies.empty()) {
    const reserve_reply reply = context_.local_replies.back();
    context_.local_replies.pop_back();
    on_reply(now, context_.self_index(), reply);
  }
}

entry_role::attempt* entry_role::find_by_holder_ticket(name_index from,
                                                       ticket_number holder_ticket) {
  const auto found = attempts_.find(entry_ticket_of(holder_ticket));
  const bool same = found != attempts_.end() && found->second.holder_ticket == holder_ticket &&
                    found->second.holder == from;
  return same ? &found->second : nullptr;
}

void entry_role::on_reply(time_ms now, name_index from, const reserve_reply& message) {
  attempt* const known = find_by_holder_ticket(from, message.ticket);
  // A reply to an attempt that has ended is ignored: the holder probes the reservation later and
  // gets a withdrawal.
  if (known == nullptr || known->phase != attempt_phase::asking)
    return;
  const ticket_number ticket = entry_ticket_of(message.ticket);
  attempt& a = *known;
  switch (message.verdict) {
  case reserve_verdict::granted:
    a.phase = attempt_phase::open;
    a.epoch = message.epoch;
    a.bound = message.bound;
    unfinished_.erase(ticket);
    decide(ticket, a, budget_outcome::granted, message.bound);
    return;
  case reserve_verdict::already_settled:
    decide(ticket, a, budget_outcome::already_settled, message.bound);
    break;
  case reserve_verdict::exhausted:
    decide(ticket, a, budget_outcome::exhausted, 0);
    break;
  case reserve_verdict::unreachable:
    decide(ticket, a, budget_outcome::unreachable, 0);
    break;
  case reserve_verdict::elsewhere:
    follow_redirect(now, ticket, a, from, message.epoch);
    return;
  }
  unfinished_.erase(ticket);
  attempts_.erase(ticket);
}

void entry_role::decide(ticket_number ticket, const attempt& a, budget_outcome outcome,
                        token_count bound) {
  budget_decision decision{ticket, outcome, {}, a.epoch, bound};
  if (a.holder != no_name)
    decision.holder = context_.state.host(a.holder);
  context_.out.decisions.push_back(std::move(decision));
}

void entry_role::follow_redirect(time_ms now, ticket_number ticket, attempt& a, name_index from,
                                 epoch_number epoch) {
  const delegation* const d = context_.state.find(epoch);
  const bool named =
      d != nullptr && d->holder != a.excluded && context_.live.is_available(d->holder);
  a.excluded = from;
  if (named && d->holder != from)
    change_holder(now, ticket, a, d->holder);
  else
    ask_best_holder(now, ticket, a);
}

// A holder that is short of tokens requests them from the others for this attempt, so the attempt
// stays with it. If it followed the tokens, it would leave each holder just as they arrive.
void entry_role::retry_reserve(time_ms now, ticket_number ticket, attempt& a) {
  const bool sent_away = a.excluded != no_name;
  a.excluded = no_name;
  if (!sent_away && context_.live.is_live(a.holder))
    send_reserve(now, a);
  else
    ask_best_holder(now, ticket, a);
}

void entry_role::ask_best_holder(time_ms now, ticket_number ticket, attempt& a) {
  const name_index holder = pick_holder(a);
  if (holder == a.excluded || holder == no_name)
    return;
  if (holder != a.holder)
    change_holder(now, ticket, a, holder);
  else
    send_reserve(now, a);
}

// The previous holder may have reserved although its reply is lost, so it gets a withdrawal.
void entry_role::change_holder(time_ms now, ticket_number ticket, attempt& a, name_index holder) {
  if ((a.holder_ticket & max_ask_count) == max_ask_count)
    return;
  if (a.holder != no_name)
    send_settle(now, ticket, a, settle_kind::withdraw, 0);
  ++a.holder_ticket;
  a.holder = holder;
  send_reserve(now, a);
}

void entry_role::send_settle(time_ms now, ticket_number ticket, attempt& a, settle_kind kind,
                             token_count tokens) {
  settle_request request{a.holder_ticket, {}, a.key, kind, tokens};
  if (a.holder == context_.self_index()) {
    holder_.settle(now, a.team, {a.holder, a.holder_ticket}, request);
    return;
  }
  request.team = context_.state.team_name(a.team);
  a.sent = now;
  if (kind != settle_kind::shrink && kind != settle_kind::withdraw) {
    a.phase = attempt_phase::settling;
    a.since = now;
    a.settling = request;
    unfinished_.insert(ticket);
  }
  context_.send(a.holder, std::move(request));
}

void entry_role::shrink(time_ms now, ticket_number ticket, token_count bound) {
  const auto found = attempts_.find(ticket);
  if (found == attempts_.end() || found->second.phase != attempt_phase::open ||
      bound >= found->second.bound)
    return;
  found->second.bound = bound;
  send_settle(now, ticket, found->second, settle_kind::shrink, bound);
  deliver_local_replies(now);
}

void entry_role::settle(time_ms now, ticket_number ticket, std::optional<token_count> used) {
  finish(now, ticket, used ? settle_kind::settle : settle_kind::no_usage, used.value_or(0));
}

void entry_role::disown(time_ms now, ticket_number ticket) {
  finish(now, ticket, settle_kind::disown, 0);
}

void entry_role::finish(time_ms now, ticket_number ticket, settle_kind kind, token_count tokens) {
  const auto found = attempts_.find(ticket);
  if (found == attempts_.end() || found->second.phase != attempt_phase::open)
    return;
  send_settle(now, ticket, found->second, kind, tokens);
  if (found->second.phase != attempt_phase::settling)
    attempts_.erase(found);
  deliver_local_replies(now);
}

void entry_role::withdraw(time_ms now, ticket_number ticket) {
  const auto found = attempts_.find(ticket);
  if (found == attempts_.end() || found->second.phase == attempt_phase::settling)
    return;
  attempt& a = found->second;
  if (a.holder != no_name)
    send_settle(now, ticket, a, settle_kind::withdraw, 0);
  unfinished_.erase(ticket);
  attempts_.erase(ticket);
  deliver_local_replies(now);
}

void entry_role::on_message(time_ms, name_index from, const settle_reply& message) {
  const attempt* const known = find_by_holder_ticket(from, message.ticket);
  if (known == nullptr || known->phase != attempt_phase::settling)
    return;
  unfinished_.erase(entry_ticket_of(message.ticket));
  attempts_.erase(entry_ticket_of(message.ticket));
}

// The attempt is withdrawn only if this host does not know it or has it with another holder.
void entry_role::on_message(time_ms, name_index from, const reservation_probe& message) {
  if (find_by_holder_ticket(from, message.ticket) != nullptr)
    return;
  context_.send(
      from, settle_request{message.ticket, message.team, message.key, settle_kind::withdraw, 0});
}

bool entry_role::give_up_or_resend(time_ms now, attempt& a) {
  const ledger_options& options = context_.options();
  const bool lost = !context_.live.is_live(a.holder) &&
                    now - context_.live.absent_since(a.holder) >= options.settle_give_up;
  if (lost && now - a.since >= options.settle_give_up)
    return true;
  const std::int64_t backoff_factor = context_.live.is_live(a.holder) ? 1 : 8;
  if (now - a.sent >= options.message_resend * backoff_factor) {
    a.sent = now;
    context_.send(a.holder, a.settling);
  }
  return false;
}

void entry_role::tick(time_ms now) {
  deliver_local_replies(now);
  const std::vector<ticket_number> unfinished{unfinished_.begin(), unfinished_.end()};
  for (const ticket_number ticket : unfinished) {
    const auto found = attempts_.find(ticket);
    if (found == attempts_.end())
      continue;
    attempt& a = found->second;
    if (a.phase == attempt_phase::settling) {
      if (give_up_or_resend(now, a)) {
        unfinished_.erase(ticket);
        attempts_.erase(ticket);
      }
      continue;
    }
    if (now >= a.deadline) {
      decide(ticket, a, budget_outcome::unreachable, 0);
      withdraw(now, ticket);
    } else if (now - a.sent >= context_.options().message_resend) {
      retry_reserve(now, ticket, a);
    }
  }
  deliver_local_replies(now);
}

} // namespace sedgechute::ledger
