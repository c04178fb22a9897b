#pragma once

#include "claims/impl/claim_key.hpp"

#include <optional>
#include <string>

namespace sedgechute {

/// \brief The 16 bytes that a table stores instead of a key's text, to save memory.
///
/// For a minted key they hold all parts that the shard doesn't imply; for a caller's key, a hash of
/// 127 bits, which collides for one in 10^38 pairs of keys of a team. Keys of different teams don't
/// collide because a claim also names its team.
struct stored_key {
  std::uint64_t first{};  ///< 2 * mark + 1 for a minted key; even for a caller's key
  std::uint64_t second{}; ///< random number of a minted key, or the rest of the hash

  [[nodiscard]] bool is_minted() const noexcept { return first % 2 == 1; }
  [[nodiscard]] std::uint64_t mark() const noexcept { return first / 2; }

  bool operator==(const stored_key&) const = default;
};

struct stored_key_hash {
  [[nodiscard]] std::size_t operator()(const stored_key& key) const noexcept {
    return mix_hash(key.first, key.second);
  }
};

/// \param text  text of a key, or a stored key as written by `text_of`
[[nodiscard]] stored_key stored_key_of(const std::string& text);

/// \returns a text that encodes the stored key, for use where the key's own text is not known
[[nodiscard]] std::string text_of(const stored_key& key);

/// \returns the stored key that `text_of` wrote, or nothing if `text` is no such text
[[nodiscard]] std::optional<stored_key> parse_stored_key(const std::string& text);

} // namespace sedgechute
