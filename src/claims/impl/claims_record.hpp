#pragma once

#include "claims/impl/claim_key.hpp"

#include <variant>
#include <vector>

namespace sedgechute {

/// \brief Assigns a shard to a holder and a witness. Valid only if `replaces` is the shard's epoch
/// at this offset of the log; the offset is then the new epoch.
struct claim_delegation {
  claim_shard shard;
  std::uint64_t replaces{}; ///< epoch to replace, 0 for a shard without one
  incarnation holder;
  incarnation witness;         ///< `host` is empty if there is no witness
  std::uint64_t known_since{}; ///< the holder knows all claims since this epoch; 0: the new one

  bool operator==(const claim_delegation&) const = default;
};

/// \brief Advances the shard's mark, which determines the age of minted keys. Valid only if
/// `replaces` is the mark at this offset of the log; the offset is then the new mark.
struct claim_rotation {
  claim_shard shard;
  std::uint64_t replaces{}; ///< mark to replace

  bool operator==(const claim_rotation&) const = default;
};

/// \brief A record of the log stream `fleet`. A repeated record has no effect, because the epoch or
/// mark that it replaces is no longer the current one.
struct claims_record {
  std::uint64_t id{}; ///< random
  std::variant<claim_delegation, claim_rotation> body;

  bool operator==(const claims_record&) const = default;
};

/// \brief The state of one shard after replaying the log.
struct shard_status {
  claim_shard shard;
  std::uint64_t epoch{}; ///< log offset of the last valid delegation
  std::uint64_t mark{};  ///< log offset of the last valid delegation or rotation
  incarnation holder;
  incarnation witness;
  std::uint64_t known_since{};          ///< the holder knows all claims since this epoch
  std::vector<std::uint64_t> rotations; ///< the newest marks, oldest of them first
  bool claims_unknown{};                ///< the holder may lack claims of a lost epoch
  std::uint64_t unknown_from{};         ///< the holder may lack claims from here to `known_since`
  std::vector<incarnation> lost;        ///< hosts of lost epochs that are not proven to have ended
  time_ms unknown_since; ///< with `lost` empty: local time since which none acts under a lost epoch

  bool operator==(const shard_status&) const = default;
};

/// \brief All shards, as part of a checkpoint of the log.
struct claims_snapshot {
  std::vector<shard_status> shards;

  bool operator==(const claims_snapshot&) const = default;
};

} // namespace sedgechute
