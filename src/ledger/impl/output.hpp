#pragma once

#include "ledger/impl/messages.hpp"
#include "ledger/impl/records.hpp"

#include <optional>
#include <vector>

namespace sedgechute::ledger {

/// \brief One attempt of a request that wants tokens.
struct budget_request {
  team_id team;
  request_id key; ///< shared by all attempts of one request
  token_count bound{};
  /// Holder of the key's earlier reservation, if an earlier attempt is known; while it lives only
  /// it is asked, so that the attempts share one reservation.
  std::optional<incarnation> prior_holder;
};

enum class budget_outcome {
  pending,
  granted,
  already_settled, ///< an earlier attempt under the key was billed; nothing is reserved
  exhausted,       ///< error_kind::budget_exhausted
  unreachable,     ///< error_kind::budget_unreachable
};

/// \brief How a reservation was decided.
struct budget_decision {
  ticket_number ticket{};
  budget_outcome outcome{};
  incarnation holder;   ///< to be passed as `prior_holder` by later attempts
  epoch_number epoch{}; ///< fencing number
  token_count bound{};  ///< what is reserved
};

/// \brief What a holder charged for one request, for the audit log. At most one is made for a
/// reservation.
struct bill {
  team_id team;
  request_id key;
  epoch_number epoch{};
  token_count tokens{};
};

struct outgoing_message {
  incarnation to;
  ledger_message body;
};

/// \brief What the daemon has to send, append and tell its requests. Messages and appends may be
/// lost, repeated or reordered freely.
struct budget_output {
  std::vector<outgoing_message> messages;
  std::vector<ledger_record> records;
  std::vector<budget_decision> decisions;
  std::vector<bill> bills;
};

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::budget_outcome> {
  using enum sedgechute::ledger::budget_outcome;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::budget_outcome>({{pending, "pending"},
                                                      {granted, "granted"},
                                                      {already_settled, "already_settled"},
                                                      {exhausted, "exhausted"},
                                                      {unreachable, "unreachable"}});
};
