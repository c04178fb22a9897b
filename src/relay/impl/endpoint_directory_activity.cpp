#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>

namespace sedgechute {

void endpoint_directory::note_stalled(const placement& place) {
  const std::scoped_lock lock{mutex_};
  if (state* const at = find_current(place.endpoint, place.local_incarnation))
    note_result(*at, false, time_.now());
}

service_activity endpoint_directory::activity(const std::string& service, time_ms since) const {
  service_activity found;
  const std::scoped_lock lock{mutex_};
  for (const auto& [id, known] : endpoints_) {
    if (known.entry.service != service)
      continue;
    const bool waited_for = std::ranges::any_of(
        known.open_ids, [since](const open_id& one) { return one.placed < since; });
    if (known.heard->at() >= since)
      ++found.heard;
    else if (waited_for)
      found.silent.push_back(known.hash);
    else if (is_usable(known) && reachability_.reachable(id, known.entry.data_centre))
      ++found.unused;
  }
  return found;
}

} // namespace sedgechute
