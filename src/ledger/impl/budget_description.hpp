#pragma once

#include "ledger/impl/delegation.hpp"

#include <optional>
#include <vector>

namespace sedgechute::ledger {

enum class write_off_reason {
  holder_lost, ///< opened by a holder whose epoch its witness has sealed
  both_lost,   ///< delegated to a holder that was lost together with its witness
  entry_lost,  ///< reserved for requests whose entry host died
  in_transfer, ///< sent to another holder that has not reported it and may have died
};

/// \brief One slice of a budget.
struct slice_description {
  epoch_number epoch{};
  incarnation holder;
  data_centre_id data_centre;
  delegation_state state{};
  token_count delegated{};   ///< granted and received, less returned and transferred
  token_count spent{};       ///< as last reported
  token_count outstanding{}; ///< delegated and not reported as spent
};

/// \brief Written-off tokens of one epoch.
struct write_off_description {
  epoch_number epoch{}; ///< 0 for tokens of epochs that are over
  incarnation holder;
  write_off_reason reason{};
  token_count tokens{};
};

/// \brief State of one budget for operators. `spent` is as of the last reports, and
/// `reserved_here` counts only reservations of this host.
struct budget_description {
  team_id team;
  log_offset offset{}; ///< offset up to which the log was read
  token_count contract{};
  token_count bought{}; ///< more than `contract` while a reduced contract is still committed
  token_count pool{};
  token_count spent{};
  token_count outstanding{};
  token_count written_off{};
  token_count reserved_here{};
  std::vector<slice_description> slices;
  std::vector<write_off_description> write_offs;
  std::optional<time_ms> exhausted_in; ///< forecast at the recent rate; none without spending
};

} // namespace sedgechute::ledger

template <>
struct sedgechute::enum_names<sedgechute::ledger::write_off_reason> {
  using enum sedgechute::ledger::write_off_reason;
  static constexpr auto entries =
      enum_table<sedgechute::ledger::write_off_reason>({{holder_lost, "holder_lost"},
                                                        {both_lost, "both_lost"},
                                                        {entry_lost, "entry_lost"},
                                                        {in_transfer, "in_transfer"}});
};
