#pragma once

#include "load/impl/tally.hpp"

#include <iosfwd>

namespace sedgechute::load {

/// \brief Everything that one run measured.
struct measured {
  tally hosts;
  tally engines;
  double cpu_s{0};
  double resident_mb{0};
  double seconds{0};
};

/// \brief What must never happen, counted.
struct broken_invariants {
  std::int64_t overspend_tokens{0};
  std::int64_t double_billed{0};   ///< tokens billed beyond what the answers used
  std::int64_t unbilled_tokens{0}; ///< used and not billed when the hosts were last asked
  std::uint64_t ran_twice{0};
  std::uint64_t ran_though_refused{0};
  std::uint64_t budgets_read{0}; ///< 0: what was spent and billed is unknown
  bool budgets_missing{false};   ///< hosts were named to ask, and none answered

  [[nodiscard]] bool any() const noexcept {
    return overspend_tokens != 0 || double_billed != 0 || ran_twice != 0 ||
           ran_though_refused != 0 || budgets_missing;
  }
};

/// \brief Prints the tables and, as the last line, one JSON object.
/// \returns the program's exit code: 1 when an invariant broke
[[nodiscard]] int report(const measured& result, const broken_invariants& broken,
                         std::ostream& out);

} // namespace sedgechute::load
