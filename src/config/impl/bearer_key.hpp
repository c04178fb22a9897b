#pragma once

#include "config/impl/hashed_key.hpp"

#include <optional>
#include <span>

namespace sedgechute {

/// \brief Random bytes in a key's secret, and in its salt.
inline constexpr std::size_t key_secret_bytes = 32;
inline constexpr std::size_t key_salt_bytes = 16;

/// \returns the key id of a bearer key `sk-ID-SECRET`, or nothing when it has another form
[[nodiscard]] std::optional<std::string_view> key_id_of(std::string_view bearer) noexcept;

/// \brief Forms a bearer key.
/// \param secret random bytes from the operating system's secure source
[[nodiscard]] std::string make_bearer_key(std::string_view id,
                                          std::span<const std::uint8_t> secret);

/// \brief Hashes a bearer key for a contract or settings.
/// \throws error `invalid_parameter` when the key or the salt has the wrong form
[[nodiscard]] hashed_key hash_bearer_key(std::string_view bearer, std::string_view salt_hex);

/// \returns whether `bearer` is the key that was hashed; takes the same time either way
[[nodiscard]] bool matches(std::string_view bearer, const hashed_key& key);

/// \brief Takes as long as `matches` and fails. For a bearer key whose id nobody has, so that
/// the time of a refusal does not tell which ids exist.
bool match_nothing(std::string_view bearer);

[[nodiscard]] std::string to_hex(std::span<const std::uint8_t> bytes);
/// \returns nothing for an odd number of digits or other characters
[[nodiscard]] std::optional<std::vector<std::uint8_t>> from_hex(std::string_view digits);

} // namespace sedgechute
