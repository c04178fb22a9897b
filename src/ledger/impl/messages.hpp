#pragma once

#include "ledger/impl/units.hpp"

#include <variant>

namespace sedgechute::ledger {

/// \brief Holder to witness: countersign the use of the epoch's first `upto` tokens.
struct open_chunk {
  epoch_number epoch{};
  witness_term term{};
  token_count upto{};
};

/// \brief Witness to holder: the first `upto` tokens are countersigned.
struct chunk_opened {
  epoch_number epoch{};
  witness_term term{};
  token_count upto{};
};

/// \brief Witness to holder: the epoch is sealed or over; no more tokens will be countersigned.
struct chunk_refused {
  epoch_number epoch{};
  witness_term term{};
};

/// \brief Entry host to holder: reserve up to `bound` tokens for an attempt.
struct reserve_request {
  ticket_number ticket{};
  team_id team;
  request_id key;
  token_count bound{};
  time_ms wait; ///< how long the entry host still waits
};

enum class reserve_verdict {
  granted,
  already_settled, ///< the key has been billed; nothing is reserved
  exhausted,
  unreachable,
  elsewhere, ///< this host holds no tokens of the team or is stopping; ask another holder
};

/// \brief Holder to entry host: the result of a `reserve_request`.
struct reserve_reply {
  ticket_number ticket{};
  reserve_verdict verdict{};
  epoch_number epoch{}; ///< epoch of the reservation; if `elsewhere`, of the holder to ask, 0: any
  token_count bound{};
};

enum class settle_kind {
  settle,   ///< the attempt ended; `tokens` is its usage
  no_usage, ///< the attempt ended without a known usage
  shrink,   ///< `tokens` is the new upper bound
  withdraw, ///< the attempt was never dispatched
  disown,   ///< the attempt may have used tokens, but an attempt elsewhere is billed
};

/// \brief Entry host to holder: change or end a reservation. Repeated until answered, except for
/// `shrink` and `withdraw`.
struct settle_request {
  ticket_number ticket{};
  team_id team;
  request_id key;
  settle_kind kind{};
  token_count tokens{};
};

/// \brief Holder to entry host: acknowledges a `settle_request`.
struct settle_reply {
  ticket_number ticket{};
};

/// \brief Holder to entry host: asks whether an attempt is still open. The entry host answers only
/// if it is not, by a `withdraw`.
struct reservation_probe {
  ticket_number ticket{};
  team_id team;
  request_id key;
};

/// \brief Holder to holder: send `tokens` to the epoch `to`.
struct token_request {
  team_id team;
  std::uint32_t round{};
  epoch_number to{};
  token_count tokens{};
};

/// \brief Holder to holder: tokens debited from `from`, to be credited to `to`. Repeated until
/// acknowledged.
struct token_transfer {
  team_id team;
  epoch_number from{};
  std::uint32_t sequence{};
  epoch_number to{};
  token_count tokens{};
};

/// \brief Holder to holder: the transfer was credited.
struct transfer_ack {
  epoch_number from{};
  std::uint32_t sequence{};
};

/// \brief Holder to holder: the receiving epoch is over and did not credit this transfer.
struct transfer_declined {
  epoch_number from{};
  std::uint32_t sequence{};
};

/// \brief Holder to holder: there are no tokens to send.
struct token_refusal {
  team_id team;
  std::uint32_t round{};
  epoch_number epoch{}; ///< epoch of the sender, 0 if it holds none
  token_count spent{};  ///< tokens spent of that epoch, reported or not
};

/// \brief Holder to a host of a busy data centre: request a slice of the budget.
struct hold_budget {
  team_id team;
};

using ledger_message =
    std::variant<open_chunk, chunk_opened, chunk_refused, reserve_request, reserve_reply,
                 settle_request, settle_reply, reservation_probe, token_request, token_transfer,
                 transfer_ack, transfer_declined, token_refusal, hold_budget>;

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::reserve_verdict> {
  using enum sedgechute::ledger::reserve_verdict;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::reserve_verdict>({{granted, "granted"},
                                                       {already_settled, "already_settled"},
                                                       {exhausted, "exhausted"},
                                                       {unreachable, "unreachable"},
                                                       {elsewhere, "elsewhere"}});
};

template <>
struct sedgechute::enum_names<sedgechute::ledger::settle_kind> {
  using enum sedgechute::ledger::settle_kind;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::settle_kind>({{settle, "settle"},
                                                   {no_usage, "no_usage"},
                                                   {shrink, "shrink"},
                                                   {withdraw, "withdraw"},
                                                   {disown, "disown"}});
};
