#include "prepaid/impl/account.hpp"

#include <array>
#include <charconv>

namespace sedgechute {

namespace {

constexpr char key_separator = '\n';
constexpr char value_separator = ' ';
constexpr std::size_t values = 4;

} // namespace

std::string account_key(std::string_view team, std::string_view host) {
  std::string key{team};
  key += key_separator;
  key += host;
  return key;
}

std::string encode_account(const account& value) {
  std::string text = std::to_string(value.incarnation);
  for (const std::uint64_t number : {value.granted, value.used, value.rate})
    text += value_separator + std::to_string(number);
  return text;
}

std::optional<account_record> decode_account(std::string_view key, std::string_view value) {
  const std::size_t split = key.find(key_separator);
  if (split == std::string_view::npos)
    return std::nullopt;
  std::array<std::uint64_t, values> numbers{};
  const char* at = value.data();
  const char* const end = value.data() + value.size();
  for (std::size_t i = 0; i < values; ++i) {
    if (i > 0 && (at == end || *at++ != value_separator))
      return std::nullopt;
    const auto [stop, fault] = std::from_chars(at, end, numbers.at(i));
    if (fault != std::errc{})
      return std::nullopt;
    at = stop;
  }
  if (at != end)
    return std::nullopt;
  return account_record{std::string{key.substr(0, split)}, std::string{key.substr(split + 1)},
                        account{numbers[0], numbers[1], numbers[2], numbers[3]}};
}

} // namespace sedgechute
