#pragma once

#include "ledger/impl/units.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace sedgechute::ledger {

/// \brief Recent spending of each team, to forecast when its budget is exhausted.
class spend_history {
 public:
  /// \brief Records the team's total of spent tokens.
  void record_spent(time_ms now, name_index team, token_count spent);
  /// \returns the time until `left` tokens are spent at the rate of the last minutes; none if no
  /// tokens were spent.
  [[nodiscard]] std::optional<time_ms> exhausted_in(time_ms now, name_index team,
                                                    token_count left) const;

 private:
  struct sample {
    time_ms at;
    token_count spent{};
  };
  struct samples {
    sample older;
    sample newer;
    token_count latest{};
  };

  absl::flat_hash_map<name_index, samples> teams_;
};

} // namespace sedgechute::ledger
