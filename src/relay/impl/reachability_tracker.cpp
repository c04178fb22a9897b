#include "relay/impl/reachability_tracker.hpp"

#include <algorithm>

namespace sedgechute {

void reachability_tracker::note_unreachable(const endpoint_id& endpoint,
                                            const data_centre_id& centre, bool silent,
                                            time_ms now) {
  const auto [at, first] = unreachable_.try_emplace(
      endpoint, unreachable_endpoint{centre, now + options_.initial_probe_backoff,
                                     options_.initial_probe_backoff, silent});
  if (!first) {
    at->second.wait = std::min(at->second.wait * 2, options_.max_probe_backoff);
    at->second.next_probe = now + at->second.wait;
  }
  if (silent && first)
    ++consecutive_silent_[centre.str()];
}

void reachability_tracker::note_reachable(const endpoint_id& endpoint,
                                          const data_centre_id& centre) {
  unreachable_.erase(endpoint);
  const auto silent = consecutive_silent_.find(centre.str());
  if (silent == consecutive_silent_.end())
    return;
  const bool was_cut = silent->second >= options_.silent_endpoints;
  consecutive_silent_.erase(silent);
  // The data centre is reachable again: its other endpoints need not be probed one by one.
  if (was_cut)
    std::erase_if(unreachable_, [&](const auto& one) { return one.second.centre == centre; });
}

// A removed silent endpoint must no longer count for its data centre. Otherwise three silent
// endpoints that are replaced would leave the data centre marked unreachable, with no endpoint left
// to be probed that could clear the mark.
void reachability_tracker::forget(const endpoint_id& endpoint) {
  const auto at = unreachable_.find(endpoint);
  if (at == unreachable_.end())
    return;
  const auto silent = consecutive_silent_.find(at->second.centre.str());
  if (at->second.silent && silent != consecutive_silent_.end() && --silent->second == 0)
    consecutive_silent_.erase(silent);
  unreachable_.erase(at);
}

bool reachability_tracker::reachable(const endpoint_id& endpoint,
                                     const data_centre_id& centre) const {
  if (unreachable_.contains(endpoint))
    return false;
  const auto silent = consecutive_silent_.find(centre.str());
  return silent == consecutive_silent_.end() || silent->second < options_.silent_endpoints;
}

std::vector<endpoint_id> reachability_tracker::due(time_ms now) {
  std::vector<endpoint_id> probes;
  for (auto& [endpoint, one] : unreachable_) {
    if (probes.size() == options_.max_probes)
      break;
    if (one.next_probe > now)
      continue;
    one.next_probe = now + one.wait;
    probes.push_back(endpoint);
  }
  return probes;
}

} // namespace sedgechute
