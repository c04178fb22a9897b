#pragma once

#include "ledger/impl/messages.hpp"
#include "ledger/impl/records.hpp"

#include <optional>
#include <vector>

namespace sedgechute::ledger {

/// \brief A reservation requested for one attempt of a request.
struct budget_request {
  team_id team;
  request_id key; ///< shared by all attempts of one request
  token_count bound{};
  /// Holder of the key's earlier reservation, if an earlier attempt is known. While it is live no
  /// other holder is asked, so that the attempts share one reservation.
  std::optional<incarnation> prior_holder;
};

enum class budget_outcome {
  pending,
  granted,
  already_settled, ///< an earlier attempt under the key was billed; nothing is reserved
  exhausted,       ///< error_kind::budget_exhausted
  unreachable,     ///< error_kind::budget_unreachable
};

/// \brief Result of a reservation.
struct budget_decision {
  ticket_number ticket{};
  budget_outcome outcome{};
  incarnation holder;   ///< passed as `prior_holder` by later attempts
  epoch_number epoch{}; ///< fencing number
  token_count bound{};  ///< tokens reserved
};

/// \brief Tokens that a holder charged for one request, for the audit log. A reservation has at
/// most one bill.
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

/// \brief Messages to send, records to append, and decisions and bills for the daemon. Messages and
/// appends may be lost, repeated or reordered.
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
