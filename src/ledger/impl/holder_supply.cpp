// Supply of a holder: chunks of its slice, grants, and verdicts on attempts that neither can serve.

#include "ledger/impl/holder_role.hpp"

#include <algorithm>

namespace sedgechute::ledger {

namespace {

constexpr double ms_per_s = 1000.0;

token_count demand_in(double rate, time_ms span) {
  return static_cast<token_count>(rate * static_cast<double>(span.count()) / ms_per_s);
}

} // namespace

void holder_role::advance(time_ms now, account& a) {
  if (const delegation* const other = collector(a))
    send_to_collector(now, a, *other);
  serve_waiting(now, a);
  serve_token_requests(now, a);
  return_free_tokens(now, a);
  open_next_chunk(now, a);
  request_grant(now, a);
  request_from_peers(now, a);
  decide_waiting(now, a);
}

// Small requests may overtake a large one that does not fit: otherwise the tokens left could not be
// spent.
void holder_role::serve_waiting(time_ms now, account& a) {
  if (must_return_tokens(a))
    return;
  for (auto next = a.waiting.begin(); next != a.waiting.end();) {
    const slice* const s = a.live_slice();
    const bool fits = s != nullptr && s->free() >= next->bound;
    // Another attempt of the same request may have been served while this one waited.
    if (!fits && reservations_.find({a.team, next->key}) == nullptr) {
      ++next;
      continue;
    }
    const waiting_attempt w = std::move(*next);
    next = a.waiting.erase(next);
    const reserve_request again{w.attempt.ticket, {}, w.key, w.bound, {}};
    if (!join_reservation(now, a, w.attempt, again))
      static_cast<void>(try_reserve(now, a, w.attempt, w.key, w.bound));
  }
}

// Opened tokens are written off if this host dies, so a chunk covers about two seconds of demand
// and never more than a small share of the budget.
token_count holder_role::chunk_size(const account& a) const {
  const ledger_options& options = context_.options();
  const token_count most = context_.state.totals(a.team).bought() / options.chunk_share;
  return std::min(demand_in(a.reserved_rate, options.chunk_span), most);
}

// The data centre's share of the team's demand; equal shares until the measured rates are reliable.
double holder_role::demand_share(time_ms now, const account& a) const {
  if (now - a.rates_since < context_.options().rate_warmup || a.team_rate <= 0)
    return 1.0 / static_cast<double>(std::max<std::size_t>(context_.live.data_centre_count(), 1));
  return std::min(1.0, a.spent_rate / a.team_rate);
}

// A slice covers the demand of an hour's partition, but no more than this data centre's share of
// the remaining budget, so that on each side of a partition tokens are where they are requested.
token_count holder_role::slice_size(time_ms now, const account& a, token_count need) const {
  const ledger_options& options = context_.options();
  const token_count pool = context_.state.totals(a.team).pool();
  const token_count left = std::max<token_count>(max_remaining(a), 0);
  const auto part = static_cast<token_count>(static_cast<double>(left) * demand_share(now, a));
  const token_count demand =
      std::max(demand_in(a.spent_rate, options.slice_span), pool / options.first_slice_share);
  return std::max({need, std::min(demand, part), std::min(options.min_slice, pool)});
}

token_count holder_role::unopened(const slice& s) const {
  return s.refused ? 0 : s.unopened();
}

// A reduced or cancelled contract takes back tokens that are delegated and unused.
bool holder_role::must_return_tokens(const account& a) const {
  return draining_ || context_.state.totals(a.team).overcommitted();
}

void holder_role::open_next_chunk(time_ms now, account& a) {
  slice* const s = a.live_slice();
  if (s == nullptr || unopened(*s) <= 0)
    return;
  const token_count chunk = chunk_size(a);
  token_count need = a.waiting_tokens() + chunk - s->free();
  for (const pending_token_request& request : a.token_requests)
    need += request.tokens;
  if (must_return_tokens(a) || collector(a) != nullptr)
    need = s->unopened();
  if (need <= 0)
    return;
  const token_count upto = std::min(s->granted, s->opened + std::max(need, chunk));
  if (s->witness == no_name || context_.is_injected(mutation::skip_witness)) {
    s->opened = upto;
    s->opening = upto;
    serve_waiting(now, a);
    serve_token_requests(now, a);
    return;
  }
  if (s->replacing)
    return;
  if (!context_.live.is_available(s->witness)) {
    append_witness_replacement(now, a, *s);
    return;
  }
  const bool asked = s->opening >= upto && s->opening > s->opened;
  if (asked && now - s->open_sent < context_.options().message_resend)
    return;
  s->opening = std::max(s->opening, upto);
  s->open_sent = now;
  context_.send(s->witness, open_chunk{s->epoch, s->term, s->opening});
}

// The record states the amount countersigned so far. Until it is read back, replies of the old
// witness are ignored, because the new witness would not know of them when it reclaims.
void holder_role::append_witness_replacement(time_ms now, account& a, slice& s) {
  name_index witness =
      context_.live.rendezvous_host(a.team_hash, context_.data_centre(), context_.self_index());
  if (witness == no_name)
    witness = context_.live.rendezvous_host(a.team_hash, no_name, context_.self_index());
  replace_witness body;
  body.epoch = s.epoch;
  body.term = s.term;
  if (witness != no_name)
    body.witness = context_.state.host(witness);
  body.opened = witness == no_name ? s.granted : s.opened;
  if (!context_.is_injected(mutation::open_while_replacing))
    s.opening = s.opened;
  s.replacing = context_.append(now, std::move(body));
}

void holder_role::request_grant(time_ms now, account& a) {
  if (a.grant_sent && a.grant_basis + context_.options().repeat_window < context_.state.offset()) {
    // The repeat window has passed without the grant, so no copy of it can be applied any more.
    context_.cancel_append(*a.grant_sent);
    a.grant_sent.reset();
  }
  const token_count pool = context_.state.totals(a.team).pool();
  if (a.grant_sent || pool <= 0 || must_return_tokens(a) || a.closing() || collector(a) != nullptr)
    return;
  slice* const s = a.live_slice();
  const token_count held = s == nullptr ? 0 : s->free() + unopened(*s);
  const token_count need = a.waiting_tokens() + chunk_size(a);
  const token_count size = slice_size(now, a, need);
  const bool wanted = !a.waiting.empty() || a.invited || s != nullptr;
  // A slice is kept nearly full, because it has to last while the data centre is partitioned.
  const bool low = s == nullptr || held < need || held < size / 4 * 3;
  if (wanted && low)
    append_grant(now, a, std::min(pool, std::max(need, size - held)));
}

void holder_role::append_grant(time_ms now, account& a, token_count tokens) {
  slice* const s = a.live_slice();
  name_index witness =
      context_.live.rendezvous_host(a.team_hash, context_.data_centre(), context_.self_index());
  if (witness == no_name)
    witness = context_.live.rendezvous_host(a.team_hash, no_name, context_.self_index());
  grant body;
  body.team = context_.state.team_name(a.team);
  body.extends = s == nullptr ? 0 : s->epoch;
  body.holder = context_.self();
  if (witness != no_name)
    body.witness = context_.state.host(witness);
  body.data_centre = context_.state.data_centre(context_.data_centre());
  body.tokens = tokens;
  body.chunk = chunk_size(a);
  body.basis = context_.state.offset();
  a.grant_basis = body.basis;
  a.grant_sent_at = now;
  a.grant_sent = context_.append(now, std::move(body));
  if (s != nullptr && context_.is_injected(mutation::trust_append))
    s->granted += tokens;
}

void holder_role::decide_waiting(time_ms now, account& a) {
  for (auto next = a.waiting.begin(); next != a.waiting.end();) {
    const std::optional<reserve_verdict> verdict = verdict_for(now, a, *next);
    if (!verdict) {
      ++next;
      continue;
    }
    context_.reply(next->attempt, {0, *verdict, 0, 0});
    next = a.waiting.erase(next);
  }
}

// The log lags behind the holders' spending; their messages and this host's slices are newer.
token_count holder_role::max_remaining(const account& a) const {
  const team_totals totals = context_.state.totals(a.team);
  token_count left = totals.contract - totals.spent - totals.written_off;
  const auto newer = [&](epoch_number epoch, token_count spent) {
    const delegation* const d = context_.state.find(epoch);
    if (d != nullptr)
      left -= std::max<token_count>(spent - d->spent, 0);
  };
  // A wrongly suspected holder returns the tokens that it did not use.
  context_.state.for_each_of(a.team, [&](const delegation& d) {
    if (d.state != delegation_state::live && context_.live.is_live(d.holder))
      left += d.written_off();
  });
  for (const peer_spend& peer : a.peer_spends)
    newer(peer.epoch, peer.spent);
  for (const slice& s : a.slices)
    newer(s.epoch, s.spent);
  return left;
}

// `exhausted` must be certain: it is returned only if the tokens known to be spent prove that the
// request cannot be covered. Querying each holder in turn is no proof, because it misses tokens in
// transfer between two holders. Tokens that are reserved, in transfer or out of reach may still
// arrive before the deadline.
std::optional<reserve_verdict> holder_role::verdict_for(time_ms now, account& a,
                                                        const waiting_attempt& w) {
  if (w.bound > max_remaining(a))
    return reserve_verdict::exhausted;
  if (draining_)
    return reserve_verdict::elsewhere;
  const bool supplied = context_.state.totals(a.team).pool() <= 0 && !a.grant_sent;
  if (a.live_slice() == nullptr && supplied) {
    bool others = false;
    context_.state.for_each_of(a.team, [&](const delegation& d) {
      others |= d.holder != context_.self_index() && d.state == delegation_state::live &&
                context_.live.is_live(d.holder);
    });
    if (others)
      return reserve_verdict::elsewhere;
  }
  if (now >= w.deadline)
    return reserve_verdict::unreachable;
  return std::nullopt;
}

} // namespace sedgechute::ledger
