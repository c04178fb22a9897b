#pragma once

#include "claims/impl/shard_map.hpp"
#include "claims/impl/table_transfer.hpp"

#include <map>

namespace sedgechute {

/// \brief Tables of shards that were reassigned while this host was wrongly believed lost. They are
/// sent to the current holder, whose epoch began without these claims.
class relinquished_tables {
 public:
  /// \brief Adds a table for the holder of `after`.
  /// \param number  of the transfer
  /// \param claims  all claims since `before.known_since`
  void add(std::uint64_t number, const shard_status& before, const shard_status& after,
           const std::vector<claim>& claims);
  /// \brief Restarts the transfer for a new holder, or drops the table if the holder needs it no
  /// more.
  void on_delegation(const incarnation& self, const shard_status& after);
  void on_ack(const table_part_ack& ack);
  /// \brief Drops tables of shards whose holder lacks no claims any more.
  void drop_unneeded(time_ms now, const shard_map& shards);
  /// \brief Appends the messages that are due.
  void send_due(time_ms now, time_ms interval, const shard_map& shards,
                transfer_rate_limiter& limiter, std::vector<addressed_claims_message>& output);

 private:
  std::map<claim_shard, table_transfer> tables_;
};

} // namespace sedgechute
