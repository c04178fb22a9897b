#pragma once

#include "claims/impl/claim.hpp"
#include "claims/impl/claims_options.hpp"

#include <optional>
#include <string_view>
#include <tuple>

namespace sedgechute {

/// \brief A part of the key space, assigned to one holder and one witness.
struct claim_shard {
  data_centre_id data_centre; ///< empty for callers' keys without an `@DATA-CENTRE/` prefix
  bool minted{};              ///< holds keys minted by the fleet, else callers' keys
  std::uint32_t index{};

  bool operator==(const claim_shard& other) const {
    return index == other.index && minted == other.minted && data_centre == other.data_centre;
  }
  // Compares numbers first: every message looks up a shard, and numbers compare faster than names.
  std::strong_ordering operator<=>(const claim_shard& other) const {
    return std::tie(index, minted, data_centre) <=>
           std::tie(other.index, other.minted, other.data_centre);
  }
  friend std::ostream& operator<<(std::ostream& out, const claim_shard& shard) {
    return out << (shard.minted ? "minted/" : "caller/") << shard.data_centre << '/' << shard.index;
  }
};

/// \brief A key minted by the fleet. Its text contains its shard and the log offset of its minting.
struct minted_key {
  data_centre_id data_centre;
  std::uint32_t index{};
  std::uint64_t mark{};   ///< offset of the shard's newest log record when it was minted
  std::uint64_t number{}; ///< random
};

[[nodiscard]] std::string format_key(const minted_key& key);
/// \returns the parts of a minted key, or nothing if `text` is not one
[[nodiscard]] std::optional<minted_key> parse_key(std::string_view text);

/// \returns the shard of a key. A caller's key with the prefix `@DATA-CENTRE/` belongs to a shard
/// of that data centre, so that callers can choose one that they can reach.
[[nodiscard]] claim_shard shard_of(const claim_id& id, const claims_options& options);

/// \returns a name of the shard that never changes, as input for rendezvous hashing
[[nodiscard]] std::string shard_name(const claim_shard& shard);

} // namespace sedgechute
