#pragma once

#include "ledger/impl/holder_role.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <vector>

namespace sedgechute::ledger {

/// \brief Reserves tokens with a holder for each attempt of this entry host, and settles them.
class entry_role {
 public:
  entry_role(host_context& context, holder_role& holder) noexcept
      : context_{context}, holder_{holder} {}

  /// \returns the decision; if it is `pending`, the final one follows in `budget_output`.
  budget_decision reserve(time_ms now, const budget_request& request);
  void shrink(time_ms now, ticket_number ticket, token_count bound);
  void settle(time_ms now, ticket_number ticket, std::optional<token_count> used);
  void withdraw(time_ms now, ticket_number ticket);
  void disown(time_ms now, ticket_number ticket);

  void on_reply(time_ms now, name_index from, const reserve_reply& message);
  void on_message(time_ms now, name_index from, const settle_reply& message);
  void on_message(time_ms now, name_index from, const reservation_probe& message);
  void tick(time_ms now);

  [[nodiscard]] bool idle() const noexcept { return attempts_.empty(); }
  [[nodiscard]] std::size_t open_attempts() const noexcept { return attempts_.size(); }

 private:
  enum class attempt_phase : std::uint8_t { asking, open, settling };

  struct attempt {
    attempt_phase phase{attempt_phase::asking};
    ticket_number holder_ticket{}; ///< identifies this attempt at the holder
    name_index team{no_name};
    request_id key;
    token_count bound{};
    name_index holder{no_name};
    name_index prior_holder{no_name};
    name_index excluded{no_name}; ///< holder that replied `elsewhere`
    epoch_number epoch{};
    time_ms deadline;
    time_ms sent;
    time_ms since;
    settle_request settling;
  };

  [[nodiscard]] name_index pick_holder(const attempt& a) const;
  void send_reserve(time_ms now, attempt& a);
  void follow_redirect(time_ms now, ticket_number ticket, attempt& a, name_index from,
                       epoch_number epoch);
  void retry_reserve(time_ms now, ticket_number ticket, attempt& a);
  void ask_best_holder(time_ms now, ticket_number ticket, attempt& a);
  void change_holder(time_ms now, ticket_number ticket, attempt& a, name_index holder);
  [[nodiscard]] attempt* find_by_holder_ticket(name_index from, ticket_number holder_ticket);
  void decide(ticket_number ticket, const attempt& a, budget_outcome outcome, token_count bound);
  void send_settle(time_ms now, ticket_number ticket, attempt& a, settle_kind kind,
                   token_count tokens);
  void deliver_local_replies(time_ms now);
  void finish(time_ms now, ticket_number ticket, settle_kind kind, token_count tokens);
  /// \returns whether settling is given up because the holder is lost; else resends when due.
  [[nodiscard]] bool give_up_or_resend(time_ms now, attempt& a);

  host_context& context_;
  holder_role& holder_;
  absl::flat_hash_map<ticket_number, attempt> attempts_;
  // Attempts that are asking or settling; ordered so that runs are reproducible.
  absl::btree_set<ticket_number> unfinished_;
  ticket_number last_ticket_{0};
};

} // namespace sedgechute::ledger
