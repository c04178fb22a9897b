#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

void endpoint_directory::note_pause(const placement& place, const reply_terms& terms) {
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr)
      return;
    const bool asks = terms.pause.value_or(time_ms{}) > time_ms{};
    const bool begins = asks && at->pause.ask(*terms.pause, time_.now());
    const bool malformed = terms.malformed_pause && !std::exchange(at->malformed_pause, true);
    if (!begins && !malformed)
      return;
  }
  if (on_pause_)
    on_pause_({place.endpoint, terms.pause.value_or(time_ms{}), terms.malformed_pause});
}

std::optional<time_ms> endpoint_directory::first_pause_end(const std::string& service,
                                                           std::optional<build_hash> build) const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  std::optional<time_ms> first;
  for (const auto& [id, known] : endpoints_) {
    if (known.entry.service != service || (build && known.build != build) || !is_usable(known) ||
        !reachability_.reachable(id, known.entry.data_centre))
      continue;
    if (!known.pause.holds(now))
      return std::nullopt;
    first = std::min(first.value_or(*known.pause.until()), *known.pause.until());
  }
  return first;
}

void endpoint_directory::note_says_leaving(const placement& place) {
  {
    const std::scoped_lock lock{mutex_};
    state* const at = find_current(place.endpoint, place.local_incarnation);
    if (at == nullptr || at->said_leaving)
      return;
    at->said_leaving = time_.now();
  }
  if (on_says_leaving_)
    on_says_leaving_(place.endpoint);
}

// Until the drain time has passed a request may still reach the endpoint.
bool endpoint_directory::may_send(const state& of, time_ms now) const noexcept {
  return !of.pause.holds(now) && (!of.said_leaving || now < *of.said_leaving + drain_grace_);
}

std::size_t endpoint_directory::pausing() const {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  return static_cast<std::size_t>(std::ranges::count_if(
      endpoints_, [&](const auto& known) { return known.second.pause.holds(now); }));
}

} // namespace sedgechute
