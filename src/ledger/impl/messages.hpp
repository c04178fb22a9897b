#pragma once

#include "ledger/impl/units.hpp"

#include <variant>

namespace sedgechute::ledger {

/// \brief Holder to witness: countersign the use of the epoch's tokens up to `upto`.
struct open_chunk {
  epoch_number epoch{};
  witness_term term{};
  token_count upto{};
};

/// \brief Witness to holder: countersigned.
struct chunk_opened {
  epoch_number epoch{};
  witness_term term{};
  token_count upto{};
};

/// \brief Witness to holder: the epoch is sealed or over; nothing more will be countersigned.
struct chunk_refused {
  epoch_number epoch{};
  witness_term term{};
};

/// \brief Entry host to holder.
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
  elsewhere, ///< this host holds nothing of the team or is stopping; ask another holder
};

/// \brief Holder to entry host.
struct reserve_reply {
  ticket_number ticket{};
  reserve_verdict verdict{};
  epoch_number epoch{}; ///< of the reservation, or whose holder to ask if `elsewhere`; 0 for any
  token_count bound{};
};

enum class settle_kind {
  settle,   ///< the attempt ended; `tokens` is its usage
  no_usage, ///< the attempt ended and no usage is known
  shrink,   ///< `tokens` is the new upper bound
  withdraw, ///< the attempt was never dispatched
  disown,   ///< the attempt may have used tokens, but an attempt elsewhere is billed
};

/// \brief Entry host to holder; repeated until answered, except for `shrink`.
struct settle_request {
  ticket_number ticket{};
  team_id team;
  request_id key;
  settle_kind kind{};
  token_count tokens{};
};

/// \brief Holder to entry host.
struct settle_reply {
  ticket_number ticket{};
};

/// \brief Holder to entry host: is this attempt still open? Only a `withdraw` is answered.
struct reservation_probe {
  ticket_number ticket{};
  team_id team;
  request_id key;
};

/// \brief Holder to holder: send me tokens.
struct token_request {
  team_id team;
  std::uint32_t round{};
  epoch_number to{};
  token_count tokens{};
};

/// \brief Holder to holder: debited here, to be credited there; repeated until acknowledged.
struct token_transfer {
  team_id team;
  epoch_number from{};
  std::uint32_t sequence{};
  epoch_number to{};
  token_count tokens{};
};

struct transfer_ack {
  epoch_number from{};
  std::uint32_t sequence{};
};

/// \brief Holder to holder: the receiving epoch is over and never credited this transfer.
struct transfer_declined {
  epoch_number from{};
  std::uint32_t sequence{};
};

/// \brief Holder to holder: nothing to send.
struct token_refusal {
  team_id team;
  std::uint32_t round{};
  epoch_number epoch{}; ///< 0 if nothing is held
  token_count spent{};  ///< of the epoch, reported or not
};

/// \brief Holder to a host of a busy data centre: take a slice of your own.
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
