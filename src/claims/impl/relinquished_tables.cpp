#include "claims/impl/relinquished_tables.hpp"

#include <utility>

namespace sedgechute {

void relinquished_tables::add(std::uint64_t number, const shard_status& before,
                              const shard_status& after, const std::vector<claim>& claims) {
  table_transfer& transfer = tables_[after.shard];
  transfer = start_transfer(number, claims);
  transfer.known_since = before.known_since;
  transfer.until = after.known_since;
}

void relinquished_tables::on_delegation(const incarnation& self, const shard_status& after) {
  const auto found = tables_.find(after.shard);
  if (found == tables_.end())
    return;
  table_transfer& transfer = found->second;
  if (after.known_since <= transfer.known_since || after.holder == self)
    tables_.erase(found);
  else
    transfer.acknowledged.assign(transfer.parts.size(), false);
}

void relinquished_tables::on_ack(const table_part_ack& ack) {
  const auto found = tables_.find(ack.shard);
  if (found != tables_.end())
    note_ack(found->second, ack);
}

void relinquished_tables::drop_unneeded(time_ms now, const shard_map& shards) {
  std::erase_if(tables_, [&](const auto& entry) {
    return !shards.has_unknown_claims(now, *shards.find(entry.first));
  });
}

void relinquished_tables::send_due(time_ms now, time_ms interval, const shard_map& shards,
                                   transfer_rate_limiter& limiter,
                                   std::vector<addressed_claims_message>& output) {
  for (auto& [shard, transfer] : tables_) {
    const shard_status& status = *shards.find(shard);
    for (table_part& part : due_parts(transfer, now, interval, shard, status.epoch, limiter))
      output.push_back({status.holder, std::move(part)});
  }
}

} // namespace sedgechute
