#pragma once

#include "config/config.hpp"

#include <map>
#include <vector>

namespace sedgechute::testing {

enum class step_kind { publish, repeat, read, relay, checkpoint, restart };

/// \brief One event of a generated history; the numbers choose among what exists.
struct history_step {
  step_kind kind{step_kind::read};
  unsigned a{0};
  unsigned b{0};
  unsigned c{0};
};

/// \returns a history of at most 60 steps, the same for the same seed
[[nodiscard]] std::vector<history_step> random_history(std::uint64_t seed);

/// \brief Faults put into the hosts on purpose, to see whether the comparison notices.
enum class mutation {
  none,
  ignores_replaced_revision,
  forgets_record_ids,
  accepts_gaps,
  skips_after_restore,
  skips_budget_check,
  drops_relayed_records,
};

/// \brief What users would have seen go wrong.
struct history_faults {
  int reverted{0};
  int half_applied{0};
  int lost{0};

  [[nodiscard]] int all() const noexcept { return reverted + half_applied + lost; }
};

/// \brief Plays a history on three hosts and compares each after every step with a naive replay
/// of the whole log.
[[nodiscard]] history_faults play_history(const std::vector<history_step>& steps, mutation fault);

} // namespace sedgechute::testing
