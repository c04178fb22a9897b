#include "relay/impl/retry_limiter.hpp"

#include <algorithm>

namespace sedgechute {

std::int64_t retry_limiter::bucket_number(time_ms now) const noexcept {
  const std::int64_t span =
      std::max<std::int64_t>(1, bounds_.window.count() / static_cast<std::int64_t>(buckets));
  return now.count() / span;
}

retry_limiter::bucket& retry_limiter::current(window& counts, time_ms now) const {
  const std::int64_t number = bucket_number(now);
  bucket& at = counts[static_cast<std::size_t>(number) % counts.size()];
  if (at.number != number)
    at = {.number = number};
  return at;
}

retry_limiter::bucket retry_limiter::sum(const window& counts, time_ms now) const {
  const std::int64_t oldest = bucket_number(now) - static_cast<std::int64_t>(buckets);
  bucket total;
  for (const bucket& one : counts) {
    if (one.number < oldest)
      continue;
    total.requests += one.requests;
    total.retries += one.retries;
  }
  return total;
}

void retry_limiter::note_request(const std::string& service, time_ms now) {
  ++current(services_[service], now).requests;
}

bool retry_limiter::has_retry(const std::string& service, std::size_t hosts, time_ms now) {
  const bucket total = sum(services_[service], now);
  const double part =
      static_cast<double>(bounds_.slack) / static_cast<double>(std::max<std::size_t>(hosts, 1));
  const double most =
      bounds_.used_fraction * (bounds_.ratio * static_cast<double>(total.requests) + part);
  return static_cast<double>(total.retries + 1) <= most;
}

bool retry_limiter::take_retry(const std::string& service, std::size_t hosts, time_ms now) {
  if (!has_retry(service, hosts, now))
    return false;
  ++current(services_[service], now).retries;
  return true;
}

} // namespace sedgechute
