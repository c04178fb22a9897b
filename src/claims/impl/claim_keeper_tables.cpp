// What a keeper knows of whole tables: which are complete, which are on their way, and which of
// lost epochs come back.

#include "claims/impl/claim_keeper.hpp"

#include <algorithm>

namespace sedgechute {

// This host and its partner were wrongly believed to be lost, and others began an epoch that does
// not know their claims. Having read of it, this host acts under the old epoch no more, and since
// nothing could be granted there without it, its table is all that the new holder lacks.
void claim_keeper::relinquish(const shard_status& before, const shard_status& after) {
  relinquished_.on_delegation(self_, after);
  const auto kept = kept_.find(after.shard);
  if (after.holder == self_ || after.known_since <= before.known_since || kept == kept_.end())
    return;
  if (before.holder == self_ || (before.witness == self_ && kept->second.complete))
    relinquished_.add(++last_transfer_, before, after, kept->second.table.committed());
}

void claim_keeper::on_part(time_ms now, const incarnation& from, const table_part& part) {
  const shard_status* status = shards_->find(part.shard);
  if (status == nullptr || status->epoch != part.epoch || part.part >= part.parts)
    return;
  if (part.known_since != 0) {
    if (status->holder == self_)
      accept_regained(now, from, *status, part);
    return;
  }
  if (status->witness != self_ || status->holder != from)
    return;
  kept_shard& kept = keep(part.shard);
  for (const claim& subject : part.claims)
    kept.table.merge(now, subject);
  if (note_arrival(kept.from_holder, part))
    kept.complete = true;
  send(from, table_part_ack{part.shard, part.epoch, part.transfer, part.part});
}

void claim_keeper::accept_regained(time_ms now, const incarnation& from, const shard_status& status,
                                   const table_part& part) {
  // Of several lost epochs the latest must be regained first, or its claims would be missed.
  if (part.until != status.known_since)
    return;
  kept_shard& kept = keep(part.shard);
  for (const claim& subject : part.claims)
    kept.table.merge_regained(now, subject);
  if (note_arrival(kept.regained[from], part) && kept.regained_since == 0) {
    // The witness needs the whole table before the log may say that nothing is unknown.
    kept.regained_since = part.known_since;
    if (!status.witness.host.empty())
      kept.to_witness = start_transfer(++last_transfer_, kept.table.committed());
  }
  send(from, table_part_ack{part.shard, part.epoch, part.transfer, part.part});
}

namespace {

void take_ack(table_transfer& transfer, const table_part_ack& ack) {
  note_ack(transfer, ack);
  release_acknowledged(transfer);
}

} // namespace

void claim_keeper::on_part_ack(const table_part_ack& ack) {
  const shard_status* status = shards_->find(ack.shard);
  if (status == nullptr || status->epoch != ack.epoch)
    return;
  relinquished_.on_ack(ack);
  if (status->holder == self_)
    take_ack(keep(ack.shard).to_witness, ack);
}

// Until it is proven that this host can't act under a lost epoch, the holder must assume that it
// does.
void claim_keeper::tell_stopped(const shard_status& status) {
  if (std::find(status.lost.begin(), status.lost.end(), self_) == status.lost.end())
    return;
  for (const incarnation& who : {status.holder, status.witness})
    if (!who.host.empty())
      send(who, epoch_seen{status.shard, status.epoch});
}

void claim_keeper::on_epoch_seen(time_ms now, const incarnation& from, const epoch_seen& seen) {
  shards_->note_stopped(now, seen.shard, seen.epoch, from);
}

void claim_keeper::seal(const claim_shard& shard) {
  const shard_status* status = shards_->find(shard);
  if (status != nullptr)
    keep(shard).sealed = status->epoch;
}

bool claim_keeper::is_complete(const claim_shard& shard) const {
  const auto found = kept_.find(shard);
  return found != kept_.end() && (held(shard) != nullptr || found->second.complete);
}

bool claim_keeper::witness_is_complete(const claim_shard& shard) const {
  const auto found = kept_.find(shard);
  // Failure guarded against: a holder that has lost track has sent nothing to its witness, so no
  // part is left unacknowledged. It would hand over its shard as if all claims were known there,
  // and keys would run a second time.
  return found != kept_.end() && held(shard) != nullptr && !found->second.lost_track &&
         is_finished(found->second.to_witness);
}

std::uint64_t claim_keeper::regained_since(const claim_shard& shard) const {
  const auto found = kept_.find(shard);
  const bool stored_twice = found != kept_.end() && is_finished(found->second.to_witness);
  return stored_twice && held(shard) != nullptr ? found->second.regained_since : 0;
}

bool claim_keeper::has_lost_track(const claim_shard& shard) const {
  const auto found = kept_.find(shard);
  return found != kept_.end() && found->second.lost_track;
}

bool claim_keeper::is_sealed(const claim_shard& shard) const {
  const shard_status* status = shards_->find(shard);
  const auto found = kept_.find(shard);
  return status != nullptr && found != kept_.end() && found->second.sealed == status->epoch;
}

} // namespace sedgechute
