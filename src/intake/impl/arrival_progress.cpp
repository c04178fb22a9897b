#include "intake/impl/arrival_progress.hpp"

#include <tuple>

namespace sedgechute {

// A caller that sends a byte now and then must not look like one that sends.
void arrival_progress::note(std::size_t bytes, time_ms now) noexcept {
  since_ += bytes;
  if (since_ < least_bytes)
    return;
  since_ = 0;
  moved_ = now;
}

std::optional<int> choose_yielding(std::span<const waiting_connection> waiting, room_for wanted,
                                   time_ms now, time_ms stall) {
  const waiting_connection* chosen = nullptr;
  for (const waiting_connection& one : waiting) {
    if (now - one.since < stall ||
        (wanted == room_for::body && one.stage != wait_stage::rest_of_request))
      continue;
    if (chosen == nullptr ||
        std::tie(one.stage, one.since) < std::tie(chosen->stage, chosen->since))
      chosen = &one;
  }
  return chosen == nullptr ? std::nullopt : std::optional{chosen->id};
}

} // namespace sedgechute
