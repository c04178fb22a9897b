#include "routing/impl/pool_claims.hpp"

#include <algorithm>

namespace sedgechute {

pool_claims::pool_claims(std::span<const decided_pool> decided) {
  for (const decided_pool& known : decided)
    deciders_[known.pool] = known.decider;
}

bool pool_claims::apply(const pool_claim& claim, std::uint64_t offset) {
  pool_decider& current = deciders_[claim.pool];
  if (claim.replaces != current.epoch)
    return false;
  current = {claim.claimant, offset};
  return true;
}

const pool_decider* pool_claims::decider(const pool_id& pool) const {
  const auto found = deciders_.find(pool);
  return found == deciders_.end() || found->second.epoch == 0 ? nullptr : &found->second;
}

std::vector<decided_pool> pool_claims::decided() const {
  std::vector<decided_pool> all;
  for (const auto& [pool, decider] : deciders_)
    if (decider.epoch != 0)
      all.push_back({pool, decider});
  std::ranges::sort(all, {}, &decided_pool::pool);
  return all;
}

std::uint64_t pool_claims::epoch_of(const pool_id& pool, const incarnation& self) const {
  const pool_decider* const current = decider(pool);
  return current != nullptr && current->host == self ? current->epoch : 0;
}

std::optional<pool_claim> pool_claims::due_claim(const pool_id& pool, const incarnation& self,
                                                 std::span<const incarnation> live) const {
  const pool_decider* const current = decider(pool);
  if (current != nullptr && std::ranges::find(live, current->host) != live.end())
    return std::nullopt;
  std::vector<host_id> hosts;
  for (const incarnation& member : live)
    hosts.push_back(member.host);
  const std::vector<host_id> order = rendezvous(pool.str(), hosts, 1);
  if (order.empty() || order.front() != self.host)
    return std::nullopt;
  return pool_claim{pool, self, current == nullptr ? 0 : current->epoch};
}

} // namespace sedgechute
