#include "intake/impl/arrival_progress.hpp"

#include <tuple>

namespace sedgechute {

// Otherwise a caller could prevent its eviction with a byte now and then.
void arrival_progress::note(std::size_t bytes, time_ms now) noexcept {
  bytes_since_ += bytes;
  if (bytes_since_ < least_bytes)
    return;
  bytes_since_ = 0;
  last_ = now;
}

std::optional<int> choose_eviction(std::span<const waiting_connection> waiting,
                                   eviction_scope scope, time_ms now, time_ms stall) {
  const waiting_connection* chosen = nullptr;
  for (const waiting_connection& one : waiting) {
    if (now - one.since < stall ||
        (scope == eviction_scope::unfinished_requests && one.stage != wait_stage::rest_of_request))
      continue;
    if (chosen == nullptr ||
        std::tie(one.stage, one.since) < std::tie(chosen->stage, chosen->since))
      chosen = &one;
  }
  return chosen == nullptr ? std::nullopt : std::optional{chosen->id};
}

} // namespace sedgechute
