#include "placement/impl/open_estimate.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Requests that a report names have ended after some time; most answers take less than this.
constexpr double report_lifetime_ms = 600;

} // namespace

// Requests go to an endpoint faster than its reports come back. Hosts that see the same report send
// as many requests as this one does, and only some of them tell it.
double estimate_open(const open_knowledge& known, const host_counts& hosts) noexcept {
  const double hidden = hosts.hidden_factor();
  const auto open = static_cast<double>(known.open_here + known.open_elsewhere);
  const double scaled = open * hidden;
  if (!known.reported)
    return scaled;
  const double age = static_cast<double>(known.report_age.count());
  const double kept = std::clamp(1 - age / report_lifetime_ms, 0.0, 1.0);
  const double by_report = static_cast<double>(*known.reported) +
                           static_cast<double>(known.sent_since_report) * hidden;
  return std::max(open, by_report * kept + scaled * (1 - kept));
}

} // namespace sedgechute
