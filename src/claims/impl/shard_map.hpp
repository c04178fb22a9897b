#pragma once

#include "claims/impl/claims_record.hpp"

#include <map>
#include <vector>

namespace sedgechute {

/// \brief The shards as the log tells them. Every host that has read up to the same offset has the
/// same epochs, holders and marks.
class shard_map {
 public:
  explicit shard_map(const claims_options& options) : options_{options} {}

  /// \returns whether the record was valid where it stands
  bool apply(time_ms now, std::uint64_t offset, const claims_record& record);

  [[nodiscard]] const shard_status* find(const claim_shard& shard) const;
  [[nodiscard]] const std::map<claim_shard, shard_status>& all() const noexcept { return shards_; }

  /// \brief Notes that an incarnation can do nothing any more.
  void note_ended(time_ms now, const incarnation& who);
  /// \brief Notes that `who` has read of the shard's present epoch and acts under no earlier one.
  void note_stopped(time_ms now, const claim_shard& shard, std::uint64_t epoch,
                    const incarnation& who);
  /// \brief Notes which incarnations run now: one that is seen for `successor_wait` proves that all
  /// others of its host have ended.
  void note_running(time_ms now, const std::vector<live_host>& hosts);

  /// \returns whether a successor proves that `who` can do nothing any more
  [[nodiscard]] bool has_ended(time_ms now, const incarnation& who) const;
  /// \returns whether callers' keys that are not known here may have been claimed before
  [[nodiscard]] bool has_unknown_claims(time_ms now, const shard_status& status) const;
  /// \returns the mark below which minted keys have expired
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
