#pragma once

#include "fleet_model.hpp"

#include <cstdint>
#include <vector>

namespace sedgechute::ledger {

/// \brief Options and steps of one run, reproducible from its seed.
struct schedule {
  std::uint64_t seed{};
  bool heal{}; ///< whether the run ends with `heal_and_check`
  model_options model;
  std::vector<step> steps;
};

/// \returns the schedule of a seed, with `fault` injected into the ledger.
[[nodiscard]] schedule make_schedule(std::uint64_t seed, mutation fault);

/// \returns the violations after the first step that has any, else after the whole schedule.
[[nodiscard]] findings run_schedule(const schedule& s);

/// \returns a schedule with as few steps as possible that still violates an invariant.
[[nodiscard]] schedule shrink(schedule s);

} // namespace sedgechute::ledger
