#include "relay/impl/connection_pool.hpp"

namespace sedgechute {

namespace {

constexpr std::size_t most_idle_connections = 16; // to one endpoint; more are hardly in use at once

} // namespace

std::unique_ptr<connection> connection_pool::take(const endpoint_id& endpoint, time_ms most_idle) {
  std::vector<idle_connection> stale; // closed after the lock is free
  const std::scoped_lock lock{mutex_};
  const auto at = idle_.find(endpoint);
  if (at == idle_.end())
    return nullptr;
  while (!at->second.empty()) {
    idle_connection last = std::move(at->second.back());
    at->second.pop_back();
    if (time_.now() - last.since <= most_idle && last.link->quiet())
      return std::move(last.link);
    stale.push_back(std::move(last));
  }
  return nullptr;
}

void connection_pool::give_back(const endpoint_id& endpoint, std::unique_ptr<connection> idle) {
  const std::scoped_lock lock{mutex_};
  std::vector<idle_connection>& kept = idle_[endpoint];
  if (kept.size() < most_idle_connections)
    kept.push_back({std::move(idle), time_.now()});
}

void connection_pool::forget(const endpoint_id& endpoint) {
  const std::scoped_lock lock{mutex_};
  idle_.erase(endpoint);
}

} // namespace sedgechute
