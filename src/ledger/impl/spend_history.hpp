#pragma once

#include "ledger/impl/units.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace sedgechute::ledger {

/// \brief Spending of the teams that spend, for forecasts.
class spend_history {
 public:
  /// \brief Notes the team's sum of spent tokens.
  void record_spent(time_ms now, name_index team, token_count spent);
  /// \returns when `left` tokens are spent at the rate of the last minutes; none if nothing was.
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
