#pragma once

#include "claims/impl/claim_key.hpp"

#include <optional>
#include <string>

namespace sedgechute {

/// \brief What a table keeps of a key instead of its text: 16 bytes, as there are very many. Of a
/// minted key it has all that its shard does not tell; of a caller's key it is a hash of 127 bits,
/// which two keys of one team share by chance once in 10^38 pairs. Keys of two teams are never
/// taken for one: a claim names its team.
struct stored_key {
  std::uint64_t first{};  ///< twice the mark and one for a minted key, even for a caller's
  std::uint64_t second{}; ///< the random number of a minted key

  [[nodiscard]] bool is_minted() const noexcept { return first % 2 == 1; }
  [[nodiscard]] std::uint64_t mark() const noexcept { return first / 2; }

  bool operator==(const stored_key&) const = default;
};

struct stored_key_hash {
  [[nodiscard]] std::size_t operator()(const stored_key& key) const noexcept {
    return mix_hash(key.first, key.second);
  }
};

/// \brief Takes the text of a key, or the form of a stored key that `text_of` returns.
[[nodiscard]] stored_key stored_key_of(const std::string& text);

/// \returns a text that stands for the key where its own text is not known
[[nodiscard]] std::string text_of(const stored_key& key);

/// \returns the key that a text made by `text_of` stands for, nothing for any other text
[[nodiscard]] std::optional<stored_key> parse_stored_key(const std::string& text);

} // namespace sedgechute
