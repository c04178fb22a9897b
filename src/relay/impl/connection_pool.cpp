#include "relay/impl/connection_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t max_idle_connections = 16; // per endpoint; more are rarely in use at once

// No kind of request uses a connection that was idle for longer; endpoints close them.
constexpr time_ms idle_lifetime{10000};
constexpr time_ms scan_interval{2000}; // between two scans of all endpoints

} // namespace

std::unique_ptr<connection> connection_pool::take(const endpoint_id& endpoint,
                                                  std::uint64_t local_incarnation,
                                                  time_ms max_idle) {
  std::vector<idle_connection> stale; // declared before the lock: closed after its release
  const std::scoped_lock lock{mutex_};
  const auto at = known_.find(endpoint);
  if (at == known_.end() || at->second.local_incarnation > local_incarnation)
    return nullptr;
  std::vector<idle_connection>& idle = at->second.idle;
  if (at->second.local_incarnation < local_incarnation) {
    stale = std::exchange(idle, {});
    at->second.local_incarnation = local_incarnation;
  }
  while (!idle.empty()) {
    idle_connection last = std::move(idle.back());
    idle.pop_back();
    if (time_.now() - last.since <= max_idle && last.link->quiet())
      return std::move(last.link);
    stale.push_back(std::move(last));
  }
  return nullptr;
}

void connection_pool::give_back(const endpoint_id& endpoint, std::uint64_t local_incarnation,
                                std::unique_ptr<connection> idle) {
  std::vector<idle_connection> stale;
  std::vector<idle_connection> expired;
  const std::scoped_lock lock{mutex_};
  expired = take_expired();
  endpoint_connections& kept = known_[endpoint];
  if (kept.local_incarnation > local_incarnation)
    return;
  if (kept.local_incarnation < local_incarnation)
    stale = std::exchange(kept.idle, {});
  kept.local_incarnation = local_incarnation;
  if (kept.idle.size() < max_idle_connections)
    kept.idle.push_back({std::move(idle), time_.now()});
}

// No request uses connections to a removed endpoint. Without expiry each would hold a descriptor
// until this host stops, and each replacement of endpoints would add more.
std::vector<connection_pool::idle_connection> connection_pool::take_expired() {
  std::vector<idle_connection> expired;
  const time_ms now = time_.now();
  if (now - last_expiry_scan_ < scan_interval)
    return expired;
  last_expiry_scan_ = now;
  for (auto at = known_.begin(); at != known_.end();) {
    std::vector<idle_connection>& idle = at->second.idle; // sorted, longest idle first
    const auto young = std::find_if(idle.begin(), idle.end(), [&](const auto& one) {
      return now - one.since <= idle_lifetime;
    });
    expired.insert(expired.end(), std::make_move_iterator(idle.begin()),
                   std::make_move_iterator(young));
    idle.erase(idle.begin(), young);
    at = idle.empty() ? known_.erase(at) : std::next(at);
  }
  return expired;
}

std::size_t connection_pool::size() const {
  const std::scoped_lock lock{mutex_};
  std::size_t all = 0;
  for (const auto& [endpoint, kept] : known_)
    all += kept.idle.size();
  return all;
}

} // namespace sedgechute
