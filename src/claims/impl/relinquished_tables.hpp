#pragma once

#include "claims/impl/shard_map.hpp"
#include "claims/impl/table_transfer.hpp"

#include <map>

namespace sedgechute {

/// \brief The tables of shards that were taken from this host while it was wrongly believed to be
/// lost. They go to the present holder, who began without them.
class relinquished_tables {
 public:
  /// \brief Keeps `claims`, all claims since `before.known_since`, for the holder of `after`.
  void add(std::uint64_t number, const shard_status& before, const shard_status& after,
           const std::vector<claim>& claims);
  /// \brief Sends to a new holder again, and drops what it knows.
  void on_delegation(const incarnation& self, const shard_status& after);
  void on_ack(const table_part_ack& ack);
  /// \brief Drops tables that nobody waits for any more.
  void drop_unneeded(time_ms now, const shard_map& shards);
  /// \brief Appends the messages that are due.
  void send_due(time_ms now, time_ms interval, const shard_map& shards,
                transfer_rate_limiter& limiter, std::vector<addressed_claims_message>& output);

 private:
  std::map<claim_shard, table_transfer> tables_;
};

} // namespace sedgechute
