// Updates of a holder's slices from the log, and its reports to the log.

#include "ledger/impl/holder_role.hpp"

#include <algorithm>

namespace sedgechute::ledger {

namespace {

constexpr time_ms rate_span{1000};
// Chunks follow demand within seconds; slices follow it within about a minute, because a burst in
// one data centre must not take the tokens that the team's other data centres need.
constexpr double reserved_weight = 0.3;
constexpr double spent_weight = 0.02;

double smoothed(double old, token_count tokens, time_ms span, double weight) {
  constexpr double ms_per_s = 1000.0;
  const double rate = static_cast<double>(tokens) * ms_per_s / static_cast<double>(span.count());
  return old + weight * (rate - old);
}

} // namespace

void holder_role::on_append_confirmed(const record_id& id) {
  for (auto& [team, a] : accounts_) {
    if (a->grant_sent == id)
      a->grant_sent.reset();
    for (slice& s : a->slices)
      if (s.replacing == id)
        s.replacing.reset();
  }
}

void holder_role::sync(time_ms now, name_index team) {
  context_.state.for_each_of(team, [&](const delegation& d) {
    if (d.holder != context_.self_index())
      return;
    const bool known = slice_of(team, d.epoch) != nullptr;
    if (known || d.state == delegation_state::live)
      apply_delegation(now, account_of(now, team), d);
  });
  const auto found = accounts_.find(team);
  if (found == accounts_.end())
    return;
  retire_slices(*found->second);
  advance(now, *found->second);
}

void holder_role::apply_delegation(time_ms now, account& a, const delegation& d) {
  slice* s = a.find(d.epoch);
  if (s == nullptr) {
    s = &a.slices.emplace_back();
    s->epoch = d.epoch;
    s->term = d.term;
    s->witness = d.witness;
    a.invited = false;
    a.last_used = now;
  }
  const bool trusting = context_.is_injected(mutation::trust_append);
  s->granted = trusting ? std::max(s->granted, d.granted) : d.granted;
  if (s->term != d.term) {
    s->term = d.term;
    s->witness = d.witness;
    s->opening = s->opened;
    s->refused = false;
    s->replacing.reset();
  }
  // A holder that was paused for long learns here that its epoch is over. Its opened tokens stay
  // with it, written off in the log, until it reports which of them it did not use.
  if (d.state != delegation_state::live && s->state == slice_state::live)
    s->state = slice_state::ended;
}

void holder_role::retire_slices(account& a) {
  for (slice& s : a.slices) {
    const delegation* const d = context_.state.find(s.epoch);
    const bool over = d == nullptr || d->state == delegation_state::closed;
    if (over && s.state == slice_state::live)
      s.state = slice_state::ended;
    // A transfer may arrive before this host has read the grant of the epoch that sent it.
    std::erase_if(s.receipts, [&](const transfer_receipt& r) {
      const delegation* const from = context_.state.find(r.from);
      const bool gone = from == nullptr && r.from <= context_.state.offset();
      return gone || (from != nullptr && from->has_moved(r.sequence));
    });
  }
  std::erase_if(a.slices, [&](const slice& s) {
    const delegation* const d = context_.state.find(s.epoch);
    const bool over = d == nullptr || d->state == delegation_state::closed;
    return over && s.reserved == 0 && s.state != slice_state::live;
  });
}

void holder_role::on_message(time_ms now, name_index, const chunk_opened& message) {
  const delegation* const d = context_.state.find(message.epoch);
  slice* const s = d == nullptr ? nullptr : slice_of(d->team, message.epoch);
  if (s == nullptr || s->term != message.term || s->state != slice_state::live)
    return;
  if (s->replacing && !context_.is_injected(mutation::open_while_replacing))
    return;
  s->opened = std::max(s->opened, std::min(message.upto, s->opening));
  s->opening = std::max(s->opening, s->opened);
  advance(now, *accounts_.at(d->team));
}

void holder_role::on_message(time_ms now, name_index, const chunk_refused& message) {
  const delegation* const d = context_.state.find(message.epoch);
  slice* const s = d == nullptr ? nullptr : slice_of(d->team, message.epoch);
  if (s == nullptr || s->term != message.term)
    return;
  s->refused = true;
  if (context_.is_injected(mutation::reuse_epoch))
    s->opened = s->opening;
  s->opening = s->opened;
  advance(now, *accounts_.at(d->team));
}

void holder_role::on_message(time_ms now, name_index, const hold_budget& message) {
  if (draining_)
    return;
  account& a = account_of(now, context_.state.intern_team(message.team));
  a.last_used = now;
  a.invited = a.live_slice() == nullptr;
  advance(now, a);
}

// Only opened tokens are returned; tokens that are not countersigned are left to the witness to
// reclaim, so holder and witness can never return the same token.
void holder_role::return_free_tokens(time_ms now, account& a) {
  slice* const s = a.live_slice();
  if (s == nullptr || !must_return_tokens(a) || s->free() <= 0)
    return;
  token_count back = s->free();
  if (!draining_) {
    const team_totals totals = context_.state.totals(a.team);
    const delegation* const d = context_.state.find(s->epoch);
    const token_count on_its_way = d == nullptr ? 0 : s->returned - d->returned;
    back = std::min(back, totals.committed() - totals.contract - on_its_way);
  }
  if (back <= 0)
    return;
  s->returned += back;
  s->report_due = now;
}

bool holder_role::is_changed(const slice& s, const delegation& d) const {
  return s.spent != d.spent || s.returned > d.returned || s.lost != d.lost || !s.receipts.empty() ||
         s.state == slice_state::closing;
}

epoch_report holder_role::make_report(time_ms now, slice& s) const {
  s.reported = now;
  s.report_due = now + context_.options().append_resend;
  epoch_report item;
  item.epoch = s.epoch;
  item.version = ++s.version;
  item.spent = s.spent;
  item.returned = s.returned;
  item.lost = s.lost;
  item.sent = s.sent;
  item.closing = s.state == slice_state::closing;
  item.received = s.receipts;
  return item;
}

// A transfer to a lost host may or may not have arrived, so it is neither taken back nor waited
// for: tokens that no receiver reports stay written off.
bool holder_role::transfers_finished(time_ms now, const slice& s) const {
  const live_hosts& live = context_.live;
  return std::all_of(s.transfers.begin(), s.transfers.end(), [&](const pending_transfer& t) {
    return !live.is_live(t.to_host) &&
           now - live.absent_since(t.to_host) >= context_.options().settle_give_up;
  });
}

// A slice closed while the log is unreachable would be unusable: it could be neither returned nor
// replaced until the log is back. So a recent report must have been read back first.
bool holder_role::log_is_reachable(time_ms now, const slice& s, const delegation& d) const {
  return s.version != 0 && d.version == s.version &&
         now - s.reported <= context_.options().append_resend * 4;
}

bool holder_role::can_close(time_ms now, const account& a, const slice& s) const {
  if (s.reserved != 0 && !context_.is_injected(mutation::return_reserved))
    return false;
  if (!transfers_finished(now, s))
    return false;
  return s.state == slice_state::ended || draining_ || is_idle(now, a);
}

bool holder_role::is_idle(time_ms now, const account& a) const {
  return a.waiting.empty() && now - a.last_used >= context_.options().idle_close;
}

// Appends one record for all teams of this host, once: the next report supersedes it.
void holder_role::report_changes(time_ms now) {
  const bool regular = now >= next_report_;
  if (regular)
    next_report_ = now + context_.options().report_interval;
  report body;
  for (auto& [team, a] : accounts_) {
    for (slice& s : a->slices) {
      const delegation* const d = context_.state.find(s.epoch);
      if (d != nullptr && report_is_due(now, regular, *a, s, *d))
        body.epochs.push_back(make_report(now, s));
    }
  }
  if (!body.epochs.empty())
    context_.append_once(std::move(body));
}

bool holder_role::report_is_due(time_ms now, bool regular, account& a, slice& s,
                                const delegation& d) const {
  bool probing = false;
  if (s.state != slice_state::closing && can_close(now, a, s)) {
    probing = s.state == slice_state::live && !draining_ && !log_is_reachable(now, s, d);
    if (!probing) {
      s.state = slice_state::closing;
      s.report_due = now;
    }
  }
  const bool wanted = !s.receipts.empty() && (!a.token_requests.empty() || collector(a) != nullptr);
  const bool urgent =
      s.state == slice_state::closing || s.returned > d.returned || wanted || probing;
  return (regular && is_changed(s, d)) || (urgent && now >= s.report_due);
}

void holder_role::update_rates(time_ms now, account& a) const {
  const time_ms span = now - a.rates_at;
  if (span < rate_span)
    return;
  a.reserved_rate = smoothed(a.reserved_rate, a.reserved_since_tick, span, reserved_weight);
  a.spent_rate = smoothed(a.spent_rate, a.spent_since_tick, span, spent_weight);
  const token_count team_spent = context_.state.totals(a.team).spent;
  a.team_rate = smoothed(a.team_rate, team_spent - a.team_spent, span, spent_weight);
  a.team_spent = team_spent;
  a.reserved_since_tick = 0;
  a.spent_since_tick = 0;
  a.rates_at = now;
}

void holder_role::tick(time_ms now) {
  check_due_reservations(now);
  for (auto next = accounts_.begin(); next != accounts_.end();) {
    account& a = *next->second;
    update_rates(now, a);
    resend_transfers(now, a);
    advance(now, a);
    if (a.empty() && (draining_ || now - a.last_used >= context_.options().idle_close))
      next = accounts_.erase(next);
    else
      ++next;
  }
  report_changes(now);
}

void holder_role::drain(time_ms now) {
  draining_ = true;
  for (auto& [team, a] : accounts_)
    advance(now, *a);
  report_changes(now);
}

} // namespace sedgechute::ledger
