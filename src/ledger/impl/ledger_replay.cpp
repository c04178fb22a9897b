// The rules by which replay applies or rejects records. docs/LEDGER.md lists them with reasons.

#include "ledger/impl/ledger_state.hpp"

#include <algorithm>

namespace sedgechute::ledger {

namespace {

using enum record_verdict;

void keep_first_rejection(record_verdict& all, record_verdict one) {
  if (all == applied)
    all = one;
}

} // namespace

// Ids are remembered for a window of offsets only. A grant composed before the window may be a
// repeat of a forgotten one, so it is rejected; the writer reads that and composes a new one.
record_verdict ledger_state::apply(log_offset offset, const record_id& id, const grant& body) {
  if (body.basis + repeat_window_ < offset && fault_ != mutation::ignore_basis)
    return outdated;
  if (!remember_id(offset, id))
    return repeated;
  const name_index team = intern_team(body.team);
  touch(team);
  if (body.tokens <= 0)
    return out_of_range;
  if (totals(team).pool() <= 0 && fault_ != mutation::grant_above_pool)
    return pool_empty;
  return body.extends == 0 ? create_epoch(offset, body, team) : extend_epoch(body, team);
}

record_verdict ledger_state::create_epoch(log_offset offset, const grant& body, name_index team) {
  const name_index holder = intern_host(body.holder);
  bool holding = false;
  for_each_of(team, [&](const delegation& d) {
    holding |= d.holder == holder && d.state == delegation_state::live;
  });
  if (holding && fault_ != mutation::forget_record_ids && fault_ != mutation::ignore_basis)
    return already_holding;
  delegation d;
  d.epoch = offset;
  d.team = team;
  d.holder = holder;
  d.witness = body.witness.host.empty() ? no_name : intern_host(body.witness);
  d.data_centre = intern_data_centre(body.data_centre);
  const token_count pool = totals(team).pool();
  d.granted = fault_ == mutation::grant_above_pool ? body.tokens : std::min(body.tokens, pool);
  d.next_of_team = teams_[team].first_epoch;
  teams_[team].first_epoch = offset;
  add_to_totals(d);
  delegations_.emplace(offset, std::move(d));
  return applied;
}

record_verdict ledger_state::extend_epoch(const grant& body, name_index team) {
  delegation* const d = find_mutable(body.extends);
  if (d == nullptr || d->team != team)
    return unknown_epoch;
  if (d->state != delegation_state::live)
    return not_live;
  if (hosts_[d->holder] != body.holder)
    return wrong_holder;
  const token_count pool = totals(team).pool();
  subtract_from_totals(*d);
  d->granted += fault_ == mutation::grant_above_pool ? body.tokens : std::min(body.tokens, pool);
  add_to_totals(*d);
  return applied;
}

record_verdict ledger_state::apply(log_offset, const record_id&, const report& body) {
  record_verdict all = applied;
  for (const epoch_report& item : body.epochs)
    keep_first_rejection(all, apply_report(item));
  return all;
}

// Reports are sums since the epoch began, so a lost, repeated or late report needs no id. Released
// tokens count as returned. A report that was under way during the release may return some of the
// same tokens, so only the amount beyond the released one is new.
record_verdict ledger_state::apply_report(const epoch_report& item) {
  delegation* d = find_mutable(item.epoch);
  if (d == nullptr)
    return unknown_epoch;
  if (d->state == delegation_state::closed)
    return not_live;
  if (item.version <= d->version)
    return repeated;
  apply_receipts(*d, item);
  const bool shrinks = item.spent < d->spent || item.returned < 0 || item.lost < 0;
  const token_count returned = std::max(item.returned, d->returned);
  const token_count used = item.spent - d->spent + returned - d->returned;
  if (shrinks || used + item.lost > d->remainder())
    return out_of_range;
  subtract_from_totals(*d);
  d->version = item.version;
  d->spent = item.spent;
  d->returned = returned;
  d->lost = item.lost;
  d->sent = item.sent;
  if (item.closing)
    close(*d, item);
  add_to_totals(*d);
  erase_if_finished(item.epoch);
  return applied;
}

// A transfer is credited once: its sequence number is stored with the epoch that sent it. An epoch
// that is over has no remainder, so a late repeat moves no tokens.
void ledger_state::apply_receipts(delegation& to, const epoch_report& item) {
  for (const transfer_receipt& receipt : item.received) {
    delegation* const from = find_mutable(receipt.from);
    if (from == nullptr || from->team != to.team || receipt.tokens <= 0)
      continue;
    if (from->has_moved(receipt.sequence) || from->remainder() < receipt.tokens)
      continue;
    subtract_from_totals(*from);
    from->moved += receipt.tokens;
    from->note_moved(receipt.sequence);
    add_to_totals(*from);
    subtract_from_totals(to);
    to.received += receipt.tokens;
    add_to_totals(to);
    erase_if_finished(receipt.from);
  }
}

// Closing returns all tokens except transfers that their receivers have not reported yet. A wrongly
// suspected holder closes its reclaimed epoch too, because only it knows what it did not use.
void ledger_state::close(delegation& d, const epoch_report& item) {
  const token_count in_transit = std::max<token_count>(item.sent - d.moved, 0);
  const token_count back = std::max<token_count>(d.remainder() - d.lost - in_transit, 0);
  d.gone += back + d.lost;
  teams_[d.team].orphaned += d.lost;
  teams_[d.team].written_off += d.lost;
  d.lost = 0;
  d.state = delegation_state::closed;
}

record_verdict ledger_state::apply(log_offset, const record_id&, const reclaim_batch& body) {
  record_verdict all = applied;
  for (const reclaim& item : body.epochs)
    keep_first_rejection(all, apply_reclaim(item));
  return all;
}

// Only the witness of the current term knows all countersigned tokens: a replaced witness does not
// know what its successor signed. Tokens released before may be among those never signed, so
// `returned`, the sum of released and returned tokens, is subtracted from the unopened ones.
record_verdict ledger_state::apply_reclaim(const reclaim& item) {
  delegation* const d = find_mutable(item.epoch);
  if (d == nullptr)
    return unknown_epoch;
  if (d->state == delegation_state::closed || d->reclaim_applied)
    return not_live;
  if (item.term != d->term && fault_ != mutation::ignore_term)
    return wrong_term;
  if (item.opened < 0)
    return out_of_range;
  const bool may_be_released =
      d->state != delegation_state::live && fault_ != mutation::reclaim_released;
  const token_count released = may_be_released ? d->returned : 0;
  const token_count unopened = std::max<token_count>(d->granted - item.opened - released, 0);
  subtract_from_totals(*d);
  d->gone += std::min(unopened, d->remainder());
  d->lost = 0;
  d->reclaim_applied = true;
  d->state = delegation_state::reclaimed;
  add_to_totals(*d);
  erase_if_finished(item.epoch);
  return applied;
}

record_verdict ledger_state::apply(log_offset, const record_id&, const abandon& body) {
  delegation* const d = find_mutable(body.epoch);
  if (d == nullptr)
    return unknown_epoch;
  if (d->state != delegation_state::live)
    return not_live;
  subtract_from_totals(*d);
  d->lost = 0;
  d->state = delegation_state::abandoned;
  add_to_totals(*d);
  erase_if_finished(body.epoch);
  return applied;
}

record_verdict ledger_state::apply(log_offset, const record_id&, const replace_witness& body) {
  delegation* const d = find_mutable(body.epoch);
  if (d == nullptr)
    return unknown_epoch;
  if (d->state != delegation_state::live)
    return not_live;
  if (body.term != d->term)
    return wrong_term;
  ++d->term;
  d->witness = body.witness.host.empty() ? no_name : intern_host(body.witness);
  d->opened = std::max(d->opened, body.opened);
  touch(d->team);
  return applied;
}

record_verdict ledger_state::apply(log_offset offset, const record_id& id, const release& body) {
  if (body.basis + repeat_window_ < offset && fault_ != mutation::ignore_basis)
    return outdated;
  if (!remember_id(offset, id))
    return repeated;
  const name_index team = intern_team(body.team);
  touch(team);
  if (body.tokens <= 0 || body.tokens > body.of)
    return out_of_range;
  if (body.epoch == 0)
    return release_orphaned(team, body);
  delegation* const d = find_mutable(body.epoch);
  if (d == nullptr || d->team != team)
    return unknown_epoch;
  if (d->state == delegation_state::live)
    return not_live;
  if (body.of != d->remainder())
    return changed;
  subtract_from_totals(*d);
  d->returned += body.tokens;
  add_to_totals(*d);
  erase_if_finished(body.epoch);
  return applied;
}

record_verdict ledger_state::release_orphaned(name_index team, const release& body) {
  team_row& row = teams_[team];
  if (body.of != row.orphaned)
    return changed;
  row.orphaned -= body.tokens;
  row.written_off -= body.tokens;
  return applied;
}

} // namespace sedgechute::ledger
