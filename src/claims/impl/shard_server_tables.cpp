// Transfer of whole tables: to a new witness, and from hosts of lost epochs to the current holder.

#include "claims/impl/shard_server.hpp"

#include <algorithm>

namespace sedgechute {

// Holder and witness, one of them this host, were wrongly believed lost, and other hosts began an
// epoch that lacks their claims. After reading its record, this host no longer acts under the old
// epoch. Nothing can be granted there without it, so its table has all claims that the new holder
// lacks.
void shard_server::relinquish(const shard_status& before, const shard_status& after) {
  relinquished_.on_delegation(self_, after);
  const auto local = local_shards_.find(after.shard);
  if (after.holder == self_ || after.known_since <= before.known_since ||
      local == local_shards_.end())
    return;
  if (before.holder == self_ || (before.witness == self_ && local->second.complete))
    relinquished_.add(++last_transfer_, before, after, local->second.table.committed());
}

void shard_server::on_part(time_ms now, const incarnation& from, const table_part& part) {
  const shard_status* status = shards_->find(part.shard);
  if (status == nullptr || status->epoch != part.epoch || part.part >= part.parts)
    return;
  if (part.known_since != 0) {
    if (status->holder == self_)
      accept_recovered(now, from, *status, part);
    return;
  }
  if (status->witness != self_ || status->holder != from)
    return;
  local_shard& local = local_shard_for(part.shard);
  for (const claim& subject : part.claims)
    local.table.merge(now, subject);
  if (note_arrival(local.from_holder, part))
    local.complete = true;
  send(from, table_part_ack{part.shard, part.epoch, part.transfer, part.part});
}

void shard_server::accept_recovered(time_ms now, const incarnation& from,
                                    const shard_status& status, const table_part& part) {
  // Tables of several lost epochs are accepted latest first, or claims of the latest would be
  // missed.
  if (part.until != status.known_since)
    return;
  local_shard& local = local_shard_for(part.shard);
  for (const claim& subject : part.claims)
    local.table.merge_recovered(now, subject);
  if (note_arrival(local.recovered[from], part) && local.recovered_since == 0) {
    // The witness needs the whole table before the log may record that no claims are missing.
    local.recovered_since = part.known_since;
    if (!status.witness.host.empty())
      local.to_witness = start_transfer(++last_transfer_, local.table.committed());
  }
  send(from, table_part_ack{part.shard, part.epoch, part.transfer, part.part});
}

namespace {

void apply_ack(table_transfer& transfer, const table_part_ack& ack) {
  note_ack(transfer, ack);
  release_acknowledged(transfer);
}

} // namespace

void shard_server::on_part_ack(const table_part_ack& ack) {
  const shard_status* status = shards_->find(ack.shard);
  if (status == nullptr || status->epoch != ack.epoch)
    return;
  relinquished_.on_ack(ack);
  if (status->holder == self_)
    apply_ack(local_shard_for(ack.shard).to_witness, ack);
}

// Until it is proven that this host no longer acts under a lost epoch, the holder must assume that
// it does.
void shard_server::send_epoch_seen(const shard_status& status) {
  if (std::find(status.lost.begin(), status.lost.end(), self_) == status.lost.end())
    return;
  for (const incarnation& who : {status.holder, status.witness})
    if (!who.host.empty())
      send(who, epoch_seen{status.shard, status.epoch});
}

void shard_server::on_epoch_seen(time_ms now, const incarnation& from, const epoch_seen& seen) {
  shards_->note_stopped(now, seen.shard, seen.epoch, from);
}

void shard_server::seal(const claim_shard& shard) {
  const shard_status* status = shards_->find(shard);
  if (status != nullptr)
    local_shard_for(shard).sealed = status->epoch;
}

bool shard_server::is_complete(const claim_shard& shard) const {
  const auto found = local_shards_.find(shard);
  return found != local_shards_.end() && (find_held(shard) != nullptr || found->second.complete);
}

bool shard_server::witness_is_complete(const claim_shard& shard) const {
  const auto found = local_shards_.find(shard);
  // A holder with a log gap has sent no table to its witness, so no part is unacknowledged and the
  // transfer seems finished. Without this check it would hand over its shard as if the witness knew
  // all claims, and keys would run a second time.
  return found != local_shards_.end() && find_held(shard) != nullptr && !found->second.log_gap &&
         is_finished(found->second.to_witness);
}

std::uint64_t shard_server::recovered_since(const claim_shard& shard) const {
  const auto found = local_shards_.find(shard);
  const bool stored_twice = found != local_shards_.end() && is_finished(found->second.to_witness);
  return stored_twice && find_held(shard) != nullptr ? found->second.recovered_since : 0;
}

bool shard_server::has_log_gap(const claim_shard& shard) const {
  const auto found = local_shards_.find(shard);
  return found != local_shards_.end() && found->second.log_gap;
}

bool shard_server::is_sealed(const claim_shard& shard) const {
  const shard_status* status = shards_->find(shard);
  const auto found = local_shards_.find(shard);
  return status != nullptr && found != local_shards_.end() && found->second.sealed == status->epoch;
}

} // namespace sedgechute
