#include "relay/impl/cold_start.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// Limits apply to any span of one second. The margin covers a request that takes longer on its way
// than the one before it.
constexpr time_ms window{1050};

// Hosts that start together find each other only when they read the host list a second time, five
// seconds after the first.
constexpr time_ms host_list_settling{6000};

} // namespace

std::size_t cold_start_limit(const cold_start_terms& terms,
                             const cold_start_bounds& bounds) noexcept {
  const double limit = terms.per_second * bounds.overage + bounds.tolerance;
  constexpr double max_limit = 1e9;
  return static_cast<std::size_t>(std::clamp(limit, 0.0, max_limit));
}

cold_start_split split_cold_start_limit(std::size_t limit, std::size_t hosts) noexcept {
  const std::size_t shared = limit / 2;
  const std::size_t senders = std::min(hosts, shared);
  return senders == 0 ? cold_start_split{} : cold_start_split{senders, shared / senders};
}

bool sends_to_cold(endpoint_hash endpoint, std::uint64_t self,
                   const std::vector<std::uint64_t>& others, std::size_t senders) noexcept {
  if (others.size() < senders)
    return true;
  const std::uint64_t own = mix_hash(endpoint, self);
  const auto heavier = std::count_if(others.begin(), others.end(), [&](std::uint64_t other) {
    return mix_hash(endpoint, other) > own;
  });
  return static_cast<std::size_t>(heavier) < senders;
}

void recent_sends::sent(time_ms now) {
  cancel();
  std::erase_if(sent_at_, [&](time_ms at) { return now - at >= kept; });
  sent_at_.push_back(now);
}

std::size_t recent_sends::count(time_ms now) const noexcept {
  return count(now, window);
}

std::size_t recent_sends::count(time_ms now, time_ms span) const noexcept {
  const auto recent =
      std::count_if(sent_at_.begin(), sent_at_.end(), [&](time_ms at) { return now - at < span; });
  return assigned_ + static_cast<std::size_t>(recent);
}

void cold_start_limiter::set_services(std::unordered_map<std::string, cold_start_terms> services) {
  services_ = std::move(services);
}

void cold_start_limiter::set_hosts(std::uint64_t self, std::vector<std::uint64_t> others,
                                   time_ms now) {
  self_ = self;
  others_ = std::move(others);
  if (!std::exchange(hosts_known_, true))
    first_hosts_at_ = now;
}

const cold_start_terms* cold_start_limiter::find_terms(const std::string& service) const {
  const auto at = services_.find(service);
  return at == services_.end() || at->second.per_second <= 0 ? nullptr : &at->second;
}

// A host that does not know the others yet would take the whole limit for itself.
std::size_t cold_start_limiter::quota(const cold_start_terms& terms, endpoint_hash endpoint,
                                      time_ms now) const noexcept {
  if (!hosts_settled(now))
    return 0;
  const cold_start_split split =
      split_cold_start_limit(cold_start_limit(terms, bounds_), others_.size() + 1);
  return is_sender(endpoint, split.senders) ? split.requests : 0;
}

bool cold_start_limiter::hosts_settled(time_ms now) const noexcept {
  return hosts_known_ && now - first_hosts_at_ >= host_list_settling;
}

bool cold_start_limiter::is_sender(endpoint_hash endpoint, std::size_t senders) const noexcept {
  return sends_to_cold(endpoint, self_, others_, senders);
}

std::size_t cold_start_limiter::rank(endpoint_hash endpoint) const noexcept {
  const std::uint64_t own = mix_hash(endpoint, self_);
  return static_cast<std::size_t>(
      std::count_if(others_.begin(), others_.end(),
                    [&](std::uint64_t other) { return mix_hash(endpoint, other) > own; }));
}

} // namespace sedgechute
