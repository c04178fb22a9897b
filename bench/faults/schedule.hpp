#pragma once

#include "fleet_model.hpp"

#include <cstdint>
#include <vector>

namespace sedgechute::ledger {

/// \brief Everything that happens in one run; replays from its seed.
struct schedule {
  std::uint64_t seed{};
  bool heal{}; ///< whether all faults end at last and nothing may be left over
  model_options model;
  std::vector<step> steps;
};

/// \returns the schedule of a seed.
[[nodiscard]] schedule make_schedule(std::uint64_t seed, mutation fault);

/// \returns what was wrong, at the first step that shows it.
[[nodiscard]] findings run_schedule(const schedule& s);

/// \returns a schedule with fewer steps that is wrong too.
[[nodiscard]] schedule shrink(schedule s);

} // namespace sedgechute::ledger
