#pragma once

#include "ledger/impl/reservation_table.hpp"
#include "ledger/impl/slice.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <utility>

namespace sedgechute::ledger {

/// \brief Holds slices of budgets: reserves and bills tokens, opens slices chunk by chunk with the
/// witness, enlarges them by grants, exchanges tokens with other holders and reports to the log.
class holder_role {
 public:
  explicit holder_role(host_context& context) noexcept : context_{context} {}

  /// \brief Reserves tokens for an attempt; answers by `host_context::reply`, now or later.
  void reserve(time_ms now, name_index team, const attempt_id& attempt,
               const reserve_request& request);
  /// \brief Settles, shrinks, withdraws or disowns a reservation. Late and repeated calls have no
  /// effect.
  void settle(time_ms now, name_index team, const attempt_id& attempt,
              const settle_request& request);

  void on_message(time_ms now, name_index from, const chunk_opened& message);
  void on_message(time_ms now, name_index from, const chunk_refused& message);
  void on_message(time_ms now, name_index from, const token_request& message);
  void on_message(time_ms now, name_index from, const token_transfer& message);
  void on_message(time_ms now, name_index from, const transfer_ack& message);
  void on_message(time_ms now, name_index from, const transfer_declined& message);
  void on_message(time_ms now, name_index from, const token_refusal& message);
  void on_message(time_ms now, name_index from, const hold_budget& message);

  /// \brief A grant or witness replacement of this host was read back; `sync` must follow.
  void on_append_confirmed(const record_id& id);
  /// \brief Updates this host's slices of the team from the replayed state.
  void sync(time_ms now, name_index team);
  void tick(time_ms now);

  /// \brief Accepts no new reservations, returns free tokens and closes each slice once its
  /// reservations are settled.
  void drain(time_ms now);
  [[nodiscard]] bool drained() const noexcept { return draining_ && accounts_.empty(); }

  /// \returns the team's account, or null if this host keeps none.
  [[nodiscard]] const account* find(name_index team) const;
  [[nodiscard]] std::size_t reservation_count() const noexcept { return reservations_.size(); }
  template <typename Visit>
  void for_each(Visit&& visit) const {
    for (const auto& [team, a] : accounts_)
      visit(*a);
  }

 private:
  account& account_of(time_ms now, name_index team);
  slice* slice_of(name_index team, epoch_number epoch);

  // holder_role.cpp: reservations
  [[nodiscard]] bool is_forgotten(const attempt_id& attempt) const;
  void forget(const reservation_key& key, const reservation& r);
  bool join_reservation(time_ms now, account& a, const attempt_id& attempt,
                        const reserve_request& request);
  bool try_reserve(time_ms now, account& a, const attempt_id& attempt, const request_id& key,
                   token_count bound);
  void apply_settle(time_ms now, account& a, const reservation_key& key, reservation& r,
                    const attempt_id& attempt, const settle_request& request);
  void charge(time_ms now, account& a, const reservation_key& key, reservation& r,
              token_count used);
  static void shrink(account& a, reservation& r, token_count bound);
  void remove_attempt(time_ms now, const reservation_key& key, reservation& r,
                      const attempt_id& attempt);
  void unreserve(time_ms now, name_index team, reservation& r);
  void count_origin(time_ms now, account& a, name_index entry);
  void check_due_reservations(time_ms now);
  void check_reservation(time_ms now, const reservation_key& key, reservation& r);
  void write_off(time_ms now, const reservation_key& key, reservation& r);

  // holder_supply.cpp: chunks, grants and verdicts on waiting attempts
  /// Serves the waiting, opens chunks, requests tokens and decides, after any change of the
  /// account.
  void advance(time_ms now, account& a);
  void serve_waiting(time_ms now, account& a);
  void open_next_chunk(time_ms now, account& a);
  void append_witness_replacement(time_ms now, account& a, slice& s);
  void request_grant(time_ms now, account& a);
  void append_grant(time_ms now, account& a, token_count tokens);
  void decide_waiting(time_ms now, account& a);
  [[nodiscard]] std::optional<reserve_verdict> verdict_for(time_ms now, account& a,
                                                           const waiting_attempt& w);
  [[nodiscard]] const delegation* collector(account& a) const;
  void send_to_collector(time_ms now, account& a, const delegation& to);
  [[nodiscard]] token_count max_remaining(const account& a) const;
  [[nodiscard]] token_count chunk_size(const account& a) const;
  [[nodiscard]] double demand_share(time_ms now, const account& a) const;
  [[nodiscard]] token_count slice_size(time_ms now, const account& a, token_count need) const;
  [[nodiscard]] token_count unopened(const slice& s) const;
  [[nodiscard]] bool must_return_tokens(const account& a) const;

  // holder_transfer.cpp: transfers between holders
  void serve_token_requests(time_ms now, account& a);
  void prune_credited_transfers();
  void record_peer_spend(account& a, const token_refusal& message);
  [[nodiscard]] static token_count sendable(const slice& s);
  bool serve_token_request(time_ms now, account& a, slice& s, const pending_token_request& request);
  void transfer(time_ms now, account& a, slice& s, const pending_token_request& request,
                token_count tokens);
  void resend_transfers(time_ms now, account& a);
  void request_from_peers(time_ms now, account& a);
  [[nodiscard]] token_count shortage(account& a) const;

  // holder_report.cpp: updates from the log and reports to it
  void apply_delegation(time_ms now, account& a, const delegation& d);
  void retire_slices(account& a);
  void return_free_tokens(time_ms now, account& a);
  [[nodiscard]] bool transfers_finished(time_ms now, const slice& s) const;
  [[nodiscard]] bool log_is_reachable(time_ms now, const slice& s, const delegation& d) const;
  [[nodiscard]] bool can_close(time_ms now, const account& a, const slice& s) const;
  [[nodiscard]] bool is_idle(time_ms now, const account& a) const;
  /// \returns whether the slice is reported now; first starts to close it if that is possible.
  [[nodiscard]] bool report_is_due(time_ms now, bool regular, account& a, slice& s,
                                   const delegation& d) const;
  void report_changes(time_ms now);
  [[nodiscard]] bool is_changed(const slice& s, const delegation& d) const;
  [[nodiscard]] epoch_report make_report(time_ms now, slice& s) const;
  void update_rates(time_ms now, account& a) const;

  host_context& context_;
  // Ordered so that runs are reproducible.
  absl::btree_map<name_index, std::unique_ptr<account>> accounts_;
  reservation_table reservations_;
  absl::flat_hash_set<std::pair<epoch_number, std::uint32_t>> credited_transfers_;
  // By entry host: the highest ticket whose settled reservation was forgotten.
  absl::btree_map<name_index, ticket_number> forgotten_upto_;
  bool draining_{false};
  time_ms next_report_;
};

} // namespace sedgechute::ledger
