#include "relay/impl/endpoint_directory.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// A new request reaches an endpoint this long after the answer that frees its slot: both ways
// between data centres, and the host's own work.
constexpr double round_trip_ms = 5;
// An estimate that is too low must not fill the endpoint's queue; plain endpoints have one of 24.
constexpr double max_queued = 8;

/// \returns the requests beyond its slots that keep an endpoint busy until freed slots get others
double queued_at(double slots, double request_ms, const host_counts& hosts) noexcept {
  if (request_ms <= 0)
    return 1;
  if (hosts.all <= 1)
    return std::clamp(std::ceil(slots * round_trip_ms / request_ms), 1.0, max_queued);
  // The next request may wait at another host, which learns of the free slot by a report. The root
  // is the spread of the number of slots that are freed meanwhile.
  const double spacing = std::max(20.0, (static_cast<double>(hosts.heard) - 1) * 2.5);
  const double freed = slots * (round_trip_ms + spacing) / request_ms;
  return std::clamp(std::ceil(freed + std::sqrt(freed)), 1.0, max_queued);
}

} // namespace

service_capacity endpoint_directory::capacity(const std::string& service) const {
  const std::scoped_lock lock{mutex_};
  service_capacity found;
  const auto estimated = services_.find(service);
  if (estimated == services_.end())
    return found;
  const time_ms now = time_.now();
  const host_counts hosts{.all = hosts_, .heard = others_.hosts() + 1};
  placement_request request;
  request.service = service;
  for (const auto& [id, known] : endpoints_) {
    if (!is_usable(known) || !may_serve(known, request, now))
      continue;
    ++found.usable;
    if (known.load)
      found.report_age =
          std::min(found.report_age.value_or(now - known.load_at), now - known.load_at);
    const endpoint_use elsewhere = others_.at(known.hash);
    const double open =
        estimate_load({.here = static_cast<double>(known.open),
                       .elsewhere = static_cast<double>(elsewhere.open),
                       .hidden = known.hidden_open.at(now),
                       .sent_since_report = static_cast<double>(known.sent_since_load)},
                      hosts);
    const auto slots = static_cast<double>(std::max<std::uint64_t>(known.entry.slots, 1));
    const double most = slots + queued_at(slots, estimated->second.times.mean_wait_ms(), hosts);
    found.free += static_cast<std::size_t>(std::ceil(std::max(0.0, most - open)));
  }
  return found;
}

} // namespace sedgechute
