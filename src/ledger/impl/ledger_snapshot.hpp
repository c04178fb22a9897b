#pragma once

#include "ledger/impl/delegation.hpp"
#include "ledger/impl/records.hpp"

#include <vector>

namespace sedgechute::ledger {

/// \brief The whole state after the record at `offset`, for a checkpoint. Names are given once and
/// referred to by their position.
struct ledger_snapshot {
  struct team_row {
    team_id team;
    token_count contract{};
    token_count spent{};
    token_count orphaned{};
  };
  struct recent_id {
    log_offset offset{};
    record_id id;
  };

  log_offset offset{};
  std::uint64_t digest{}; ///< of the state; a restore that does not reach it is refused
  std::vector<team_row> teams;
  std::vector<incarnation> hosts;
  std::vector<data_centre_id> data_centres;
  std::vector<delegation> delegations; ///< ascending epochs
  std::vector<recent_id> recent;       ///< grants within the repeat window, oldest first
};

} // namespace sedgechute::ledger
