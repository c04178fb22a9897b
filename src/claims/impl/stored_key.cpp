#include "claims/impl/stored_key.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace sedgechute {

namespace {

// Keys from HTTP headers can't begin with a control character, so this prefix is unambiguous.
constexpr std::string_view stored_form = "\x01";
constexpr int hexadecimal = 16;
constexpr std::size_t number_digits = 16;

// Independent of `stable_hash`: hashes words of eight bytes instead of single bytes.
std::uint64_t second_hash(std::string_view text) {
  std::uint64_t hash = text.size();
  while (!text.empty()) {
    std::uint64_t word = 0;
    for (const char c : text.substr(0, sizeof word))
      word = (word << 8U) | static_cast<unsigned char>(c);
    hash = mix_hash(hash, word);
    text.remove_prefix(std::min(sizeof word, text.size()));
  }
  return hash;
}

void append_number(std::string& text, std::uint64_t number) {
  std::array<char, number_digits> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal).ptr;
  const auto count = static_cast<std::size_t>(end - digits.data());
  text.append(number_digits - count, '0').append(digits.data(), count);
}

bool parse_number(std::string_view digits, std::uint64_t& number) {
  const char* const end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, number, hexadecimal);
  return result.ec == std::errc{} && result.ptr == end;
}

} // namespace

stored_key stored_key_of(const std::string& text) {
  if (const auto minted = parse_key(text))
    return {2 * minted->mark + 1, minted->number};
  if (const auto stored = parse_stored_key(text))
    return *stored;
  return {stable_hash(text) / 2 * 2, second_hash(text)};
}

std::string text_of(const stored_key& key) {
  std::string text{stored_form};
  append_number(text, key.first);
  append_number(text, key.second);
  return text;
}

std::optional<stored_key> parse_stored_key(const std::string& text) {
  if (text.size() != stored_form.size() + 2 * number_digits || !text.starts_with(stored_form))
    return std::nullopt;
  stored_key key;
  const std::string_view digits = std::string_view{text}.substr(stored_form.size());
  const bool valid = parse_number(digits.substr(0, number_digits), key.first) &&
                     parse_number(digits.substr(number_digits), key.second);
  return valid && text_of(key) == text ? std::optional{key} : std::nullopt;
}

} // namespace sedgechute
