#include "placement/impl/load_estimate.hpp"

#include <algorithm>

namespace sedgechute {

// Requests go to an endpoint faster than its reports come back: hosts that tell this one nothing
// see the same report, and each of them sends there as much as this one does. Their share is
// bounded by what they usually have there: hosts of other data centres prefer other endpoints.
double estimate_load(const known_load& known, const host_counts& hosts) noexcept {
  const double sum = known.here + known.elsewhere;
  const double hidden_hosts = hosts.hidden_factor() - 1;
  if (!known.hidden)
    return sum + sum * hidden_hosts;
  const double sent = std::min(known.sent_since_report * hidden_hosts, *known.hidden);
  return sum + *known.hidden + sent;
}

} // namespace sedgechute
