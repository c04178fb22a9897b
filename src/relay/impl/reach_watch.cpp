#include "relay/impl/reach_watch.hpp"

#include <algorithm>

namespace sedgechute {

void reach_watch::note_unreachable(const endpoint_id& endpoint, const data_centre_id& centre,
                                   bool silent, time_ms now) {
  const auto [at, first] = troubles_.try_emplace(
      endpoint, trouble{centre, now + options_.first_probe, options_.first_probe, silent});
  if (!first) {
    at->second.wait = std::min(at->second.wait * 2, options_.longest_probe);
    at->second.next_probe = now + at->second.wait;
  }
  if (silent && first)
    ++silent_in_a_row_[centre.str()];
}

void reach_watch::note_reachable(const endpoint_id& endpoint, const data_centre_id& centre) {
  troubles_.erase(endpoint);
  const auto silent = silent_in_a_row_.find(centre.str());
  if (silent == silent_in_a_row_.end())
    return;
  const bool was_cut = silent->second >= options_.silent_endpoints;
  silent_in_a_row_.erase(silent);
  // The data centre is reachable again: its other endpoints need not be probed one by one.
  if (was_cut)
    std::erase_if(troubles_, [&](const auto& one) { return one.second.centre == centre; });
}

// A removed silent endpoint must no longer count for its data centre. Otherwise three silent
// endpoints that are replaced would leave the data centre marked unreachable, with no endpoint left
// to be probed that could clear the mark.
void reach_watch::forget(const endpoint_id& endpoint) {
  const auto at = troubles_.find(endpoint);
  if (at == troubles_.end())
    return;
  const auto silent = silent_in_a_row_.find(at->second.centre.str());
  if (at->second.silent && silent != silent_in_a_row_.end() && --silent->second == 0)
    silent_in_a_row_.erase(silent);
  troubles_.erase(at);
}

bool reach_watch::reachable(const endpoint_id& endpoint, const data_centre_id& centre) const {
  if (troubles_.contains(endpoint))
    return false;
  const auto silent = silent_in_a_row_.find(centre.str());
  return silent == silent_in_a_row_.end() || silent->second < options_.silent_endpoints;
}

std::vector<endpoint_id> reach_watch::due(time_ms now) {
  std::vector<endpoint_id> probes;
  for (auto& [endpoint, one] : troubles_) {
    if (probes.size() == options_.most_probes)
      break;
    if (one.next_probe > now)
      continue;
    one.next_probe = now + one.wait;
    probes.push_back(endpoint);
  }
  return probes;
}

} // namespace sedgechute
