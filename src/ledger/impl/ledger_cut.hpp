#pragma once

#include "ledger/impl/ledger_snapshot.hpp"

#include <absl/container/flat_hash_map.h>

namespace sedgechute::ledger {

/// \brief Names an open cut of a `ledger_state`.
using cut_number = std::uint64_t;

/// \brief The state as it was at one offset, read in parts while records go on being applied.
///
/// Rows are read from the state itself. Only those that a record changes before their part was
/// read are copied, right before the change.
struct ledger_cut {
  struct team_image {
    ledger_snapshot::team_row row;
    std::vector<delegation> delegations;
  };

  log_offset offset{};
  std::uint64_t digest{}; ///< of what was read so far
  name_index next{0};     ///< first team that was not read
  name_index teams{0};    ///< known when the cut was made
  bool finished{false};
  std::vector<ledger_snapshot::recent_id> recent;
  absl::flat_hash_map<name_index, team_image> images;
};

/// \brief What a state that is being replaced part by part has been given so far.
struct restore_progress {
  log_offset offset{};
  std::uint64_t digest{};
  std::vector<bool> given; ///< by team
  std::vector<ledger_snapshot::recent_id> recent;
};

} // namespace sedgechute::ledger
