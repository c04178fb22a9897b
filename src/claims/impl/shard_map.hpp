#pragma once

#include "claims/impl/claims_record.hpp"

#include <map>
#include <vector>

namespace sedgechute {

/// \brief The state of all shards, replayed from the log. Hosts that have read up to the same
/// offset have the same epochs, holders and marks.
class shard_map {
 public:
  explicit shard_map(const claims_options& options) : options_{options} {}

  /// \returns whether the record was valid at its offset
  bool apply(time_ms now, std::uint64_t offset, const claims_record& record);

  [[nodiscard]] const shard_status* find(const claim_shard& shard) const;
  [[nodiscard]] const std::map<claim_shard, shard_status>& all() const noexcept { return shards_; }

  /// \brief Records that an incarnation has ended.
  void note_ended(time_ms now, const incarnation& who);
  /// \brief Records that `who` has read the shard's current epoch and acts under no earlier one.
  void note_stopped(time_ms now, const claim_shard& shard, std::uint64_t epoch,
                    const incarnation& who);
  /// \brief Records the incarnations that are running. One that is seen for `successor_wait` proves
  /// that all others of its host have ended.
  void note_running(time_ms now, const std::vector<live_host>& hosts);

  /// \returns whether a later incarnation of its host proves that `who` has ended
  [[nodiscard]] bool has_ended(time_ms now, const incarnation& who) const;
  /// \returns whether the holder may lack claims on callers' keys that were granted under a lost
  /// epoch
  [[nodiscard]] bool has_unknown_claims(time_ms now, const shard_status& status) const;
  /// \returns the oldest retained mark; minted keys with a lower one have expired
  [[nodiscard]] std::uint64_t oldest_mark(const shard_status& status) const;

  [[nodiscard]] claims_snapshot snapshot() const;
  void restore(time_ms now, const claims_snapshot& snapshot);

 private:
  bool apply_delegation(time_ms now, std::uint64_t offset, const claim_delegation& delegation);
  bool apply_rotation(std::uint64_t offset, const claim_rotation& rotation);
  template <typename Ended>
  void erase_ended(time_ms now, const Ended& has_ended);

  struct observed_incarnation {
    std::uint64_t number;
    time_ms since;
  };

  claims_options options_;
  std::map<host_id, observed_incarnation> running_;
  std::map<claim_shard, shard_status> shards_;
};

} // namespace sedgechute
