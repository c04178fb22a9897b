#pragma once

#include "ledger/impl/delegation.hpp"
#include "ledger/impl/records.hpp"

#include <vector>

namespace sedgechute::ledger {

/// \brief The state after the record at `offset`, or a part of it, for a checkpoint. Each name is
/// stored once and referred to by its position.
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
  std::uint64_t digest{}; ///< digest of the state; a restore that does not match it fails
  std::vector<team_row> teams;
  std::vector<incarnation> hosts;
  std::vector<data_centre_id> data_centres;
  std::vector<delegation> delegations; ///< ascending epochs
  std::vector<recent_id> recent;       ///< grants and releases within the repeat window, by age
};

} // namespace sedgechute::ledger
