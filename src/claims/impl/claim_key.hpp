#pragma once

#include "claims/impl/claim.hpp"
#include "claims/impl/claims_options.hpp"

#include <optional>
#include <string_view>
#include <tuple>

namespace sedgechute {

/// \brief A part of the key space, decided by one holder with one witness.
struct claim_shard {
  data_centre_id data_centre; ///< empty for callers' keys that name none
  bool minted{};              ///< keys minted by the fleet
  std::uint32_t index{};

  bool operator==(const claim_shard& other) const {
    return index == other.index && minted == other.minted && data_centre == other.data_centre;
  }
  // By number first: shards are looked up for every message, and numbers compare faster than names.
  std::strong_ordering operator<=>(const claim_shard& other) const {
    return std::tie(index, minted, data_centre) <=>
           std::tie(other.index, other.minted, other.data_centre);
  }
  friend std::ostream& operator<<(std::ostream& out, const claim_shard& shard) {
    return out << (shard.minted ? "minted/" : "caller/") << shard.data_centre << '/' << shard.index;
  }
};

/// \brief A key minted by the fleet: it tells who decides, and when it was minted.
struct minted_key {
  data_centre_id data_centre;
  std::uint32_t index{};
  std::uint64_t mark{};   ///< offset of the shard's newest log record when it was minted
  std::uint64_t number{}; ///< random
};

[[nodiscard]] std::string format_key(const minted_key& key);
/// \returns the parts of a minted key, nothing for any other text
[[nodiscard]] std::optional<minted_key> parse_key(std::string_view text);

/// \returns the shard that decides for a key. A caller's key that begins with `@DATA-CENTRE/` is
/// decided there, so callers can choose a place that they can reach.
[[nodiscard]] claim_shard shard_of(const claim_id& id, const claims_options& options);

/// \returns a stable name of the shard, for placement
[[nodiscard]] std::string shard_name(const claim_shard& shard);

} // namespace sedgechute
