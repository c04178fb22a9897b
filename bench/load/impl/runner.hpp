#pragma once

#include "load/impl/load_call.hpp"
#include "load/impl/tally.hpp"

#include <functional>
#include <span>

namespace sedgechute::load {

struct run_options {
  std::size_t workers{256}; ///< most calls in progress at a time
  std::uint32_t most_tries{4};
  bool pinned{false}; ///< each worker keeps to one target, so that its connection is a used one
  time_ms warm_up{};  ///< calls due earlier are counted, but not their times
  std::function<void(const load_call&, const call_outcome&)> seen{}; ///< called for each outcome
};

/// \brief Plays each call when it is due, whether or not earlier ones have ended. Call i goes to
/// target i mod n first, unless workers are pinned. Times count from when a call was due, so
/// waiting for a worker shows.
void run(std::span<const load_call> calls, std::span<const target> targets,
         const run_options& options, instant start, tally& into);

} // namespace sedgechute::load
