#include "config/impl/bearer_key.hpp"

#include <Poco/SHA2Engine.h>

namespace sedgechute {
namespace {

constexpr std::string_view key_prefix = "sk-";
constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr std::size_t longest_bearer = 256;

[[nodiscard]] Poco::DigestEngine::Digest salted_sha256(std::span<const std::uint8_t> salt,
                                                       std::string_view bearer) {
  Poco::SHA2Engine engine{Poco::SHA2Engine::SHA_256};
  engine.update(salt.data(), salt.size());
  engine.update(bearer.data(), bearer.size());
  return engine.digest();
}

} // namespace

std::optional<std::string_view> key_id_of(std::string_view bearer) noexcept {
  if (bearer.size() > longest_bearer || bearer.substr(0, key_prefix.size()) != key_prefix)
    return std::nullopt;
  const std::string_view rest = bearer.substr(key_prefix.size());
  const auto dash = rest.find('-');
  if (dash == std::string_view::npos || dash == 0 || dash + 1 == rest.size())
    return std::nullopt;
  return rest.substr(0, dash);
}

std::string make_bearer_key(std::string_view id, std::span<const std::uint8_t> secret) {
  return std::string{key_prefix} + std::string{id} + "-" + to_hex(secret);
}

hashed_key hash_bearer_key(std::string_view bearer, std::string_view salt_hex) {
  const auto id = key_id_of(bearer);
  if (!id)
    throw error{error_kind::invalid_parameter, "key", "must have the form sk-ID-SECRET"};
  const auto salt = from_hex(salt_hex);
  if (!salt)
    throw error{error_kind::invalid_parameter, "salt", "must be hexadecimal"};
  const auto digest = salted_sha256(*salt, bearer);
  return {std::string{*id}, std::string{salt_hex}, to_hex(digest)};
}

bool matches(std::string_view bearer, const hashed_key& key) {
  const auto salt = from_hex(key.salt);
  const auto wanted = from_hex(key.sha256);
  if (!salt || !wanted || bearer.size() > longest_bearer)
    return false;
  // A comparison that stops at the first difference would let a caller find the hash byte by
  // byte from the time it takes.
  return Poco::DigestEngine::constantTimeEquals(salted_sha256(*salt, bearer), *wanted);
}

bool match_nothing(std::string_view bearer) {
  static const hashed_key nobody{"", std::string(2 * key_salt_bytes, '0'), std::string(64, '0')};
  static_cast<void>(matches(bearer, nobody));
  return false;
}

std::string to_hex(std::span<const std::uint8_t> bytes) {
  std::string digits;
  digits.reserve(bytes.size() * 2);
  for (const std::uint8_t byte : bytes) {
    digits += hex_digits[byte >> 4U];
    digits += hex_digits[byte & 0x0fU];
  }
  return digits;
}

std::optional<std::vector<std::uint8_t>> from_hex(std::string_view digits) {
  if (digits.size() % 2 != 0)
    return std::nullopt;
  std::vector<std::uint8_t> bytes;
  bytes.reserve(digits.size() / 2);
  for (std::size_t i = 0; i < digits.size(); i += 2) {
    const auto high = hex_digits.find(digits[i]);
    const auto low = hex_digits.find(digits[i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return std::nullopt;
    bytes.push_back(static_cast<std::uint8_t>(high << 4U | low));
  }
  return bytes;
}

} // namespace sedgechute
