#pragma once

#include "kernel/kernel.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Log record by which a host becomes the decider of a pool, which sends orders to its
/// engines.
struct pool_claim {
  pool_id pool;
  incarnation claimant;
  std::uint64_t replaces{}; ///< epoch that the claim ends; 0 for a pool without one
};

/// \brief The host that decides about a pool, and its epoch, which is the fencing number.
struct pool_decider {
  incarnation host;
  std::uint64_t epoch{}; ///< offset of the winning claim
};

/// \brief A pool with its decider, for a checkpoint.
struct decided_pool {
  pool_id pool;
  pool_decider decider;
};

/// \brief The decider of each pool, by replay of the log. A claim is void unless it replaces the
/// current epoch, so the first of two concurrent claims in the log wins, and an append that is
/// repeated because its acknowledgement was lost has no effect.
class pool_claims {
 public:
  pool_claims() = default;
  /// \brief Restores a checkpoint.
  explicit pool_claims(std::span<const decided_pool> decided);

  /// \returns whether the claim took effect
  bool apply(const pool_claim& claim, std::uint64_t offset);

  /// \returns the decider, or null if nobody has claimed the pool
  [[nodiscard]] const pool_decider* decider(const pool_id& pool) const;

  /// \returns every decider, sorted by pool
  [[nodiscard]] std::vector<decided_pool> decided() const;

  /// \returns the epoch if `self` decides about the pool, else 0
  [[nodiscard]] std::uint64_t epoch_of(const pool_id& pool, const incarnation& self) const;

  /// \returns the claim that `self` should append now, or nothing unless the pool's decider is gone
  /// and `self` is first in rendezvous order. Hosts with different views may claim at once; the
  /// first claim in the log wins.
  /// \param live  incarnations that are alive in this host's view
  [[nodiscard]] std::optional<pool_claim> due_claim(const pool_id& pool, const incarnation& self,
                                                    std::span<const incarnation> live) const;

 private:
  absl::flat_hash_map<pool_id, pool_decider> deciders_;
};

} // namespace sedgechute
