#include "relay/impl/connection_pool.hpp"

#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t most_idle_connections = 16; // to one endpoint; more are hardly in use at once

} // namespace

std::unique_ptr<connection> connection_pool::take(const endpoint_id& endpoint, std::uint64_t life,
                                                  time_ms most_idle) {
  std::vector<idle_connection> stale; // closed after the lock is free
  const std::scoped_lock lock{mutex_};
  const auto at = known_.find(endpoint);
  if (at == known_.end() || at->second.life > life)
    return nullptr;
  std::vector<idle_connection>& idle = at->second.idle;
  if (at->second.life < life) {
    stale = std::exchange(idle, {});
    at->second.life = life;
  }
  while (!idle.empty()) {
    idle_connection last = std::move(idle.back());
    idle.pop_back();
    if (time_.now() - last.since <= most_idle && last.link->quiet())
      return std::move(last.link);
    stale.push_back(std::move(last));
  }
  return nullptr;
}

void connection_pool::give_back(const endpoint_id& endpoint, std::uint64_t life,
                                std::unique_ptr<connection> idle) {
  std::vector<idle_connection> stale;
  const std::scoped_lock lock{mutex_};
  endpoint_connections& kept = known_[endpoint];
  if (kept.life > life)
    return;
  if (kept.life < life)
    stale = std::exchange(kept.idle, {});
  kept.life = life;
  if (kept.idle.size() < most_idle_connections)
    kept.idle.push_back({std::move(idle), time_.now()});
}

} // namespace sedgechute
