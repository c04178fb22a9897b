#include "prepaid/impl/loan_message.hpp"

#include <array>
#include <charconv>

namespace sedgechute {

namespace {

constexpr char separator = '\n'; // names of teams and hosts cannot contain it
constexpr std::size_t fields = 5;

std::optional<std::uint64_t> number_of(std::string_view text) {
  std::uint64_t number = 0;
  const auto [stop, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc{} || stop != text.data() + text.size())
    return std::nullopt;
  return number;
}

} // namespace

std::string encode_loan(const loan_message& message) {
  std::string text{name_of(message.step)};
  for (const std::string& field :
       {std::to_string(message.number), std::to_string(message.tokens), message.host, message.team})
    text.append(1, separator).append(field);
  return text;
}

std::optional<loan_message> decode_loan(std::string_view bytes) {
  std::array<std::string_view, fields> parts;
  for (std::size_t i = 0; i < fields; ++i) {
    const std::size_t end = bytes.find(separator);
    if ((end == std::string_view::npos) != (i + 1 == fields))
      return std::nullopt;
    parts.at(i) = bytes.substr(0, end);
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1);
  }
  const auto step = value_named<loan_step>(parts[0]);
  const auto number = number_of(parts[1]);
  const auto tokens = number_of(parts[2]);
  if (!step || !number || !tokens || parts[3].empty() || parts[4].empty())
    return std::nullopt;
  return loan_message{*step, *number, *tokens, std::string{parts[3]}, std::string{parts[4]}};
}

} // namespace sedgechute
