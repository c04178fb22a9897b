#pragma once

#include "ledger/impl/budget_description.hpp"
#include "ledger/impl/entry_role.hpp"
#include "ledger/impl/host_context.hpp"
#include "ledger/impl/ledger_snapshot.hpp"
#include "ledger/impl/spend_history.hpp"
#include "ledger/impl/witness_role.hpp"

#include <span>

namespace sedgechute::ledger {

/// \brief The entry, holder and witness roles of one host for all budgets. Not thread-safe; the
/// daemon calls it under one lock and sends the messages and records of `take_output`.
///
/// ```cpp
/// auto decision = budgets.reserve(now, {team, key, bound, std::nullopt});
/// // pending: the decision follows in take_output().decisions, at most `reserve_wait` later
/// budgets.shrink(now, decision.ticket, smaller);
/// budgets.settle(now, decision.ticket, used);
/// ```
class budget_host {
 public:
  budget_host(incarnation self, const data_centre_id& data_centre, const ledger_options& options,
              std::uint64_t seed);
  budget_host(const budget_host&) = delete;
  budget_host& operator=(const budget_host&) = delete;
  ~budget_host() = default;

  /// \brief A contract was read from the log; `bought` is 0 once it is cancelled.
  void on_contract(time_ms now, log_offset offset, const team_id& team, token_count bought);
  /// \brief A ledger record was read; offsets ascend.
  void on_record(time_ms now, log_offset offset, const ledger_record& record);
  /// \brief A message arrived. It is dropped if `to` is another incarnation.
  void on_message(time_ms now, const incarnation& from, const incarnation& to,
                  const ledger_message& message);
  /// \brief Replaces the list of live hosts, which includes this one.
  void on_members(time_ms now, std::span<const live_host> hosts);
  /// \brief Resends, reports and expires. Call about every 50 ms.
  void tick(time_ms now);

  /// \brief Reserves tokens for an attempt.
  /// \returns the decision; if it is `pending`, the final one follows under the same ticket
  [[nodiscard]] budget_decision reserve(time_ms now, const budget_request& request);
  /// \brief Lowers the bound of a granted reservation.
  void shrink(time_ms now, ticket_number ticket, token_count bound);
  /// \brief Ends a granted reservation and bills `used`, at most the bound, or the whole bound if
  /// no usage is known.
  void settle(time_ms now, ticket_number ticket, std::optional<token_count> used);
  /// \brief Ends an attempt that was never dispatched: nothing is billed, and the key may be
  /// reserved again.
  void withdraw(time_ms now, ticket_number ticket);
  /// \brief Ends a dispatched attempt whose request is answered by an attempt with another
  /// reservation: nothing is billed, and the bound is written off because it may have been used.
  void disown(time_ms now, ticket_number ticket);

  /// \brief Appends an operator's release of written-off tokens; sets `basis`.
  /// \returns the id of the record in the log
  record_id release(time_ms now, sedgechute::ledger::release body);
  /// \brief The same, with the written-off amount as of the offset that this host has read.
  record_id release(time_ms now, const team_id& team, epoch_number epoch, token_count tokens,
                    release_proof proof, std::string statement);

  [[nodiscard]] budget_output take_output();

  /// \brief Accepts no new reservations as a holder, returns free tokens and closes all slices.
  void drain(time_ms now);
  /// \returns whether this host is drained: no slice, reservation or unsettled attempt is left.
  [[nodiscard]] bool drained() const noexcept;

  /// \returns the state of the team's budget, or nothing for an unknown team.
  [[nodiscard]] std::optional<budget_description> describe(time_ms now, const team_id& team) const;

  [[nodiscard]] ledger_snapshot snapshot() const { return context_.state.snapshot(); }
  /// \brief Starts from a checkpoint, also again after a gap in the log.
  /// \throws error of kind `invalid_document` if the checkpoint contradicts itself
  void restore(time_ms now, const ledger_snapshot& snapshot);

  /// \brief Reads and restores the state in parts, as in `ledger_state`.
  [[nodiscard]] cut_number open_cut() { return context_.state.open_cut(); }
  [[nodiscard]] std::optional<ledger_snapshot> next_part(cut_number cut, std::size_t most_teams) {
    return context_.state.next_part(cut, most_teams);
  }
  void close_cut(cut_number cut) { context_.state.close_cut(cut); }
  /// \brief Starts a restore in parts. Messages and ticks may come between the parts, records not.
  void begin_restore() { context_.state.begin_restore(); }
  void restore_part(time_ms now, const ledger_snapshot& part);
  void finish_restore(time_ms now);

  [[nodiscard]] const ledger_state& state() const noexcept { return context_.state; }
  [[nodiscard]] const holder_role& holder() const noexcept { return holder_; }
  [[nodiscard]] const entry_role& entry() const noexcept { return entry_; }
  [[nodiscard]] const witness_role& witness() const noexcept { return witness_; }

 private:
  void sync_touched(time_ms now);
  void abandon_lost(time_ms now);
  void dispatch(time_ms now, name_index from, const ledger_message& message);

  host_context context_;
  witness_role witness_;
  holder_role holder_;
  entry_role entry_;
  spend_history history_;
  time_ms next_abandon_;
};

} // namespace sedgechute::ledger
