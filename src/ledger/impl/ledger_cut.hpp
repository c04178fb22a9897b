#pragma once

#include "ledger/impl/ledger_snapshot.hpp"

#include <absl/container/flat_hash_map.h>

namespace sedgechute::ledger {

/// \brief Identifies an open cut of a `ledger_state`.
using cut_number = std::uint64_t;

/// \brief A consistent cut: the state at one offset, read in parts while records are applied.
///
/// Rows are read from the state itself. A row is copied only if a record changes it before its part
/// was read, immediately before the change.
struct ledger_cut {
  struct team_image {
    ledger_snapshot::team_row row;
    std::vector<delegation> delegations;
  };

  log_offset offset{};
  std::uint64_t digest{}; ///< digest of the rows read so far
  name_index next{0};     ///< first team not yet read
  name_index teams{0};    ///< number of teams when the cut was opened
  bool finished{false};
  std::vector<ledger_snapshot::recent_id> recent;
  absl::flat_hash_map<name_index, team_image> images;
};

/// \brief Progress of a restore from parts.
struct restore_progress {
  log_offset offset{};
  std::uint64_t digest{};
  std::vector<bool> given; ///< by team: whether a part contained it
  std::vector<ledger_snapshot::recent_id> recent;
};

} // namespace sedgechute::ledger
