#include "ledger/impl/budget_host.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace sedgechute::ledger {

namespace {

constexpr time_ms abandon_interval{1000};

template <typename T, typename... Types>
inline constexpr bool is_one_of = (std::is_same_v<T, Types> || ...);

} // namespace

budget_host::budget_host(incarnation self, const data_centre_id& data_centre,
                         const ledger_options& options, std::uint64_t seed)
    : context_{std::move(self), data_centre, options, seed}, witness_{context_}, holder_{context_},
      entry_{context_, holder_} {}

void budget_host::on_contract(time_ms now, log_offset offset, const team_id& team,
                              token_count bought) {
  context_.state.on_contract(offset, team, bought);
  sync_touched(now);
}

void budget_host::on_record(time_ms now, log_offset offset, const ledger_record& record) {
  if (offset <= context_.state.offset())
    return;
  context_.state.on_record(offset, record);
  if (context_.confirm_append(record.id))
    holder_.on_append_confirmed(record.id);
  sync_touched(now);
}

void budget_host::sync_touched(time_ms now) {
  for (const name_index team : context_.state.touched()) {
    history_.record_spent(now, team, context_.state.totals(team).spent);
    witness_.sync(team);
    holder_.sync(now, team);
  }
}

// Messages carry the incarnation that they are addressed to. Without it, a restarted host would
// answer for what its earlier incarnation countersigned or received, which it does not know.
void budget_host::on_message(time_ms now, const incarnation& from, const incarnation& to,
                             const ledger_message& message) {
  if (to != context_.self() && !context_.is_injected(mutation::trust_old_incarnation))
    return;
  dispatch(now, context_.state.intern_host(from), message);
}

void budget_host::dispatch(time_ms now, name_index from, const ledger_message& message) {
  std::visit(
      [&](const auto& body) {
        using type = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<type, open_chunk>)
          witness_.on_open(from, body);
        else if constexpr (std::is_same_v<type, reserve_request>)
          holder_.reserve(now, context_.state.intern_team(body.team), {from, body.ticket}, body);
        else if constexpr (std::is_same_v<type, settle_request>)
          holder_.settle(now, context_.state.intern_team(body.team), {from, body.ticket}, body);
        else if constexpr (std::is_same_v<type, reserve_reply>)
          entry_.on_reply(now, from, body);
        else if constexpr (is_one_of<type, settle_reply, reservation_probe>)
          entry_.on_message(now, from, body);
        else
          holder_.on_message(now, from, body);
      },
      message);
}

void budget_host::on_members(time_ms now, std::span<const live_host> hosts) {
  context_.live.assign(now, hosts, context_.state);
}

void budget_host::tick(time_ms now) {
  witness_.tick(now);
  holder_.tick(now);
  entry_.tick(now);
  abandon_lost(now);
  context_.resend_appends(now);
}

// When holder and witness are both lost, the opened amount is unknown, so the whole remainder stays
// written off. The `abandon` record removes the epoch from the choice of holders. Any host may
// append it; one is selected by hash to keep appends few.
void budget_host::abandon_lost(time_ms now) {
  if (now < next_abandon_)
    return;
  next_abandon_ = now + abandon_interval;
  const time_ms wait = context_.options().abandon_wait;
  const auto lost = [&](name_index host) {
    return host == no_name ||
           (!context_.live.is_live(host) && now - context_.live.absent_since(host) >= wait);
  };
  std::vector<epoch_number> mine;
  context_.state.for_each([&](const delegation& d) {
    if (d.state != delegation_state::live || !lost(d.holder) || !lost(d.witness))
      return;
    const std::uint64_t hash = stable_hash(context_.state.team_name(d.team).str());
    const name_index place = context_.live.rendezvous_host(hash, no_name, no_name);
    if (place == context_.self_index() || place == no_name)
      mine.push_back(d.epoch);
  });
  std::sort(mine.begin(), mine.end());
  for (const epoch_number epoch : mine)
    static_cast<void>(context_.append_once(abandon{epoch}));
}

budget_decision budget_host::reserve(time_ms now, const budget_request& request) {
  return entry_.reserve(now, request);
}

void budget_host::shrink(time_ms now, ticket_number ticket, token_count bound) {
  entry_.shrink(now, ticket, bound);
}

void budget_host::settle(time_ms now, ticket_number ticket, std::optional<token_count> used) {
  entry_.settle(now, ticket, used);
}

void budget_host::withdraw(time_ms now, ticket_number ticket) {
  entry_.withdraw(now, ticket);
}

void budget_host::disown(time_ms now, ticket_number ticket) {
  entry_.disown(now, ticket);
}

record_id budget_host::release(time_ms now, sedgechute::ledger::release body) {
  body.basis = context_.state.offset();
  return context_.append(now, std::move(body));
}

record_id budget_host::release(time_ms now, const team_id& team, epoch_number epoch,
                               token_count tokens, release_proof proof, std::string statement) {
  token_count of = 0;
  if (const delegation* const d = context_.state.find(epoch))
    of = d->remainder();
  else if (const name_index index = context_.state.find_team(team); index != no_name)
    of = context_.state.orphaned(index);
  return release(now, {team, epoch, tokens, of, proof, std::move(statement), 0});
}

budget_output budget_host::take_output() {
  return std::exchange(context_.out, {});
}

void budget_host::drain(time_ms now) {
  holder_.drain(now);
}

bool budget_host::drained() const noexcept {
  return holder_.drained() && entry_.idle();
}

void budget_host::restore(time_ms now, const ledger_snapshot& snapshot) {
  begin_restore();
  restore_part(now, snapshot);
  finish_restore(now);
}

void budget_host::restore_part(time_ms now, const ledger_snapshot& part) {
  for (const name_index team : context_.state.restore_part(part)) {
    witness_.sync(team);
    holder_.sync(now, team);
  }
}

// Appends are confirmed only after all parts are restored: if a grant were confirmed before its
// team's rows were restored, the holder would request a second one.
void budget_host::finish_restore(time_ms now) {
  context_.state.finish_restore();
  for (const ledger_snapshot::recent_id& recent : context_.state.recent())
    if (context_.confirm_append(recent.id))
      holder_.on_append_confirmed(recent.id);
  for (name_index team = 0; team < context_.state.team_count(); ++team) {
    witness_.sync(team);
    holder_.sync(now, team);
  }
}

std::optional<budget_description> budget_host::describe(time_ms now, const team_id& team) const {
  const ledger_state& state = context_.state;
  const name_index index = state.find_team(team);
  if (index == no_name)
    return std::nullopt;
  const team_totals totals = state.totals(index);
  budget_description result;
  result.team = team;
  result.offset = state.offset();
  result.contract = totals.contract;
  result.bought = totals.bought();
  result.pool = totals.pool();
  result.spent = totals.spent;
  result.outstanding = totals.outstanding;
  result.written_off = totals.written_off;
  if (const account* const a = holder_.find(index))
    result.reserved_here = a->reserved();
  state.for_each_of(index, [&](const delegation& d) {
    result.slices.push_back({d.epoch, state.host(d.holder), state.data_centre(d.data_centre),
                             d.state, d.remainder() + d.spent, d.spent, d.outstanding()});
    if (d.written_off() == 0)
      return;
    auto reason = write_off_reason::entry_lost;
    if (d.state == delegation_state::reclaimed)
      reason = write_off_reason::holder_lost;
    else if (d.state == delegation_state::abandoned)
      reason = write_off_reason::both_lost;
    else if (d.state == delegation_state::closed)
      reason = write_off_reason::in_transfer;
    result.write_offs.push_back({d.epoch, state.host(d.holder), reason, d.written_off()});
  });
  if (state.orphaned(index) != 0)
    result.write_offs.push_back(
        {0, incarnation{}, write_off_reason::entry_lost, state.orphaned(index)});
  result.exhausted_in =
      history_.exhausted_in(now, index, totals.bought() - totals.spent - totals.written_off);
  return result;
}

} // namespace sedgechute::ledger
