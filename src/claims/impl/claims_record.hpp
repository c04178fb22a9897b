#pragma once

#include "claims/impl/claim_key.hpp"

#include <variant>
#include <vector>

namespace sedgechute {

/// \brief Hands a shard to a holder and a witness. Valid where it stands in the log if it replaces
/// the shard's epoch there; its offset is then the new epoch.
struct claim_delegation {
  claim_shard shard;
  std::uint64_t replaces{}; ///< epoch, 0 for a shard that has none
  incarnation holder;
  incarnation witness;         ///< an empty host if the holder is alone
  std::uint64_t known_since{}; ///< epoch from which on the holder knows all claims; 0: this one

  bool operator==(const claim_delegation&) const = default;
};

/// \brief Moves the shard's mark, by which the age of minted keys is told. Valid if it replaces the
/// mark where it stands.
struct claim_rotation {
  claim_shard shard;
  std::uint64_t replaces{}; ///< mark

  bool operator==(const claim_rotation&) const = default;
};

/// \brief A record of the stream `fleet`. Repeating one is harmless: the repeat replaces nothing.
struct claims_record {
  std::uint64_t id{}; ///< random
  std::variant<claim_delegation, claim_rotation> body;

  bool operator==(const claims_record&) const = default;
};

/// \brief What replay knows of one shard.
struct shard_status {
  claim_shard shard;
  std::uint64_t epoch{};
  std::uint64_t mark{};
  incarnation holder;
  incarnation witness;
  std::uint64_t known_since{};
  std::vector<std::uint64_t> rotations; ///< newest marks, oldest first
  bool claims_unknown{};                ///< claims of a lost epoch may be unknown to the holder
  std::uint64_t unknown_from{};  ///< claims between this epoch and `known_since` may be unknown
  std::vector<incarnation> lost; ///< of lost epochs, not yet proven to have ended
  time_ms unknown_since;         ///< local time from which nobody can act under a lost epoch

  bool operator==(const shard_status&) const = default;
};

/// \brief The shards, for a checkpoint of the log.
struct claims_snapshot {
  std::vector<shard_status> shards;

  bool operator==(const claims_snapshot&) const = default;
};

} // namespace sedgechute
