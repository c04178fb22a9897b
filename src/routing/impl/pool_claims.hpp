#pragma once

#include "kernel/kernel.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief Log record by which a host becomes the one that gives a pool's orders.
struct pool_claim {
  pool_id pool;
  incarnation claimant;
  std::uint64_t replaces{}; ///< the epoch that ends by it; 0 for a pool that never had one
};

/// \brief Who decides about a pool, and under which fencing number.
struct pool_decider {
  incarnation host;
  std::uint64_t epoch{}; ///< offset of the winning claim
};

/// \brief A pool with its decider, for a checkpoint.
struct decided_pool {
  pool_id pool;
  pool_decider decider;
};

/// \brief Who decides about each pool, by replay of the log. A claim that replaces another epoch
/// than the one in force is void, so of two hosts that claim at once the first in the log wins, and
/// the repeat of an append whose answer was lost changes nothing.
class pool_claims {
 public:
  pool_claims() = default;
  /// \brief Goes on from a checkpoint.
  explicit pool_claims(std::span<const decided_pool> decided);

  /// \returns whether the claim won
  bool apply(const pool_claim& claim, std::uint64_t offset);

  /// \returns the decider, or null if the pool never had one
  [[nodiscard]] const pool_decider* decider(const pool_id& pool) const;

  /// \returns every decider, in the order of pools
  [[nodiscard]] std::vector<decided_pool> decided() const;

  /// \returns the epoch if `self` decides about the pool, else 0
  [[nodiscard]] std::uint64_t epoch_of(const pool_id& pool, const incarnation& self) const;

  /// \brief The claim that `self` should append now, if the pool's decider is gone and `self` is
  /// first in line. Several hosts may think so at once; the log decides.
  /// \param live  incarnations that are alive, as this host sees it
  [[nodiscard]] std::optional<pool_claim> due_claim(const pool_id& pool, const incarnation& self,
                                                    std::span<const incarnation> live) const;

 private:
  absl::flat_hash_map<pool_id, pool_decider> deciders_;
};

} // namespace sedgechute
