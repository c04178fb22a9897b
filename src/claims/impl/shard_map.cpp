#include "claims/impl/shard_map.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

bool shard_map::apply(time_ms now, std::uint64_t offset, const claims_record& record) {
  if (const auto* delegation = std::get_if<claim_delegation>(&record.body))
    return apply_delegation(now, offset, *delegation);
  return apply_rotation(offset, std::get<claim_rotation>(record.body));
}

bool shard_map::apply_delegation(time_ms now, std::uint64_t offset,
                                 const claim_delegation& delegation) {
  const auto found = shards_.find(delegation.shard);
  const std::uint64_t current = found == shards_.end() ? 0 : found->second.epoch;
  // Two hosts may propose at the same time, and a repeated append may arrive much later. Only the
  // first record that replaces the current epoch is valid.
  if (delegation.replaces != current || delegation.holder.host.empty() || offset <= current)
    return false;
  shard_status& status = shards_[delegation.shard];
  const bool knows_all =
      delegation.known_since != 0 && delegation.known_since <= status.known_since;
  if (current != 0 && !knows_all) {
    if (!status.claims_unknown)
      status.unknown_from = status.known_since;
    status.claims_unknown = true;
    status.unknown_since = now;
    // Holder and witness are only suspected to have ended. If they are cut off from the log, they
    // may still grant claims under their epoch, which the new holder doesn't know. This lasts until
    // both are proven to have ended.
    const bool sealed = delegation.holder == status.witness || delegation.holder == status.holder;
    for (const incarnation& who : {status.holder, status.witness})
      if (!sealed && !who.host.empty() &&
          std::count(status.lost.begin(), status.lost.end(), who) == 0)
        status.lost.push_back(who);
  }
  // The holder has received the table of an earlier epoch from a host that was wrongly believed
  // lost and no longer acts under that epoch, so the holder lacks no claims.
  if (knows_all && status.claims_unknown && delegation.known_since <= status.unknown_from) {
    status.claims_unknown = false;
    status.lost.clear();
  }
  status.shard = delegation.shard;
  status.epoch = offset;
  status.mark = offset;
  status.holder = delegation.holder;
  status.witness = delegation.witness;
  status.known_since = delegation.known_since == 0 ? offset : delegation.known_since;
  return true;
}

bool shard_map::apply_rotation(std::uint64_t offset, const claim_rotation& rotation) {
  const auto found = shards_.find(rotation.shard);
  if (found == shards_.end() || found->second.mark != rotation.replaces)
    return false;
  shard_status& status = found->second;
  status.mark = offset;
  status.rotations.push_back(offset);
  if (status.rotations.size() > options_.retained_rotations)
    status.rotations.erase(status.rotations.begin());
  return true;
}

const shard_status* shard_map::find(const claim_shard& shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? nullptr : &found->second;
}

template <typename Ended>
void shard_map::erase_ended(time_ms now, const Ended& has_ended) {
  for (auto& [shard, status] : shards_)
    if (!status.lost.empty() && std::erase_if(status.lost, has_ended) > 0)
      status.unknown_since = now;
}

void shard_map::note_ended(time_ms now, const incarnation& who) {
  erase_ended(now, [&](const incarnation& lost) { return lost == who; });
}

// A host can be lost repeatedly, so a late message about an earlier epoch proves nothing.
void shard_map::note_stopped(time_ms now, const claim_shard& shard, std::uint64_t epoch,
                             const incarnation& who) {
  const auto found = shards_.find(shard);
  if (found == shards_.end() || found->second.epoch != epoch)
    return;
  if (std::erase(found->second.lost, who) > 0)
    found->second.unknown_since = now;
}

// Stale gossip can briefly show an old incarnation as running, so `has_ended` requires that the new
// one is seen for `successor_wait`.
void shard_map::note_running(time_ms now, const std::vector<live_host>& hosts) {
  const bool unchanged =
      hosts.size() == running_.size() &&
      std::all_of(hosts.begin(), hosts.end(), [&](const live_host& host) {
        const auto before = running_.find(host.who.host);
        return before != running_.end() && before->second.number == host.who.number;
      });
  if (unchanged) {
    erase_ended(now, [&](const incarnation& lost) { return has_ended(now, lost); });
    return;
  }
  std::map<host_id, observed_incarnation> seen;
  for (const live_host& host : hosts) {
    const auto before = running_.find(host.who.host);
    const bool same = before != running_.end() && before->second.number == host.who.number;
    seen[host.who.host] = same ? before->second : observed_incarnation{host.who.number, now};
  }
  running_ = std::move(seen);
  erase_ended(now, [&](const incarnation& lost) { return has_ended(now, lost); });
}

bool shard_map::has_ended(time_ms now, const incarnation& who) const {
  const auto successor = running_.find(who.host);
  return successor != running_.end() && successor->second.number != who.number &&
         now - successor->second.since >= options_.successor_wait;
}

bool shard_map::has_unknown_claims(time_ms now, const shard_status& status) const {
  if (!status.claims_unknown)
    return false;
  return !status.lost.empty() || now - status.unknown_since < options_.retention;
}

std::uint64_t shard_map::oldest_mark(const shard_status& status) const {
  return status.rotations.size() < options_.retained_rotations ? 0 : status.rotations.front();
}

claims_snapshot shard_map::snapshot() const {
  claims_snapshot snapshot;
  for (const auto& [shard, status] : shards_)
    snapshot.shards.push_back(status);
  return snapshot;
}

void shard_map::restore(time_ms now, const claims_snapshot& snapshot) {
  shards_.clear();
  for (const shard_status& status : snapshot.shards) {
    shard_status& restored = shards_[status.shard];
    restored = status;
    // The snapshot has the local time of another host. Restarting the wait only makes it longer.
    restored.unknown_since = now;
  }
}

} // namespace sedgechute
