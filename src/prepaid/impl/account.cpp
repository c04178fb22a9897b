#include "prepaid/impl/account.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace sedgechute {

namespace {

constexpr char key_separator = '\n';
constexpr char value_separator = ' ';
constexpr std::size_t values = 11;
constexpr std::size_t values_without_promise = 4; // of a host of an earlier release

// Sums of accounts must not wrap: a few numbers near the end of 64 bits would sum up to little, and
// tokens that are granted would be granted again.
constexpr std::uint64_t most_plausible = std::uint64_t{1} << 50U; // a million budgets of a day

constexpr bool is_plausible(std::uint64_t number) noexcept {
  return number <= most_plausible;
}

time_ms to_time(std::uint64_t number) noexcept {
  return time_ms{static_cast<std::int64_t>(number)};
}

} // namespace

std::string account_key(std::string_view team, std::string_view host) {
  std::string key{team};
  key += key_separator;
  key += host;
  return key;
}

std::uint64_t most_used(const account& of, time_ms since_written) noexcept {
  constexpr double ms_a_second = 1000;
  const time_ms elapsed = std::max(since_written, time_ms{});
  const time_ms at_first = std::min(elapsed, of.later);
  const auto paced = [](std::uint64_t pace, time_ms span) {
    return static_cast<double>(pace) * static_cast<double>(span.count()) / ms_a_second;
  };
  const double allowed = static_cast<double>(of.used) + static_cast<double>(of.lead) +
                         paced(of.pace, at_first) + paced(of.later_pace, elapsed - at_first);
  if (allowed >= static_cast<double>(of.granted))
    return of.granted;
  return static_cast<std::uint64_t>(allowed);
}

std::string encode_account(const account& value) {
  std::string text = std::to_string(value.incarnation);
  for (const std::uint64_t number :
       {value.granted, value.used, value.rate, value.lead, value.pace, value.later_pace})
    text += value_separator + std::to_string(number);
  for (const time_ms span : {value.later, value.written.boot, value.written.wall})
    text += value_separator + std::to_string(span.count());
  return text + value_separator + (value.written.by_fleet ? '1' : '0');
}

std::optional<account_owner> read_account_key(std::string_view key) {
  const std::size_t split = key.find(key_separator);
  if (split == std::string_view::npos)
    return std::nullopt;
  account_owner owner{std::string{key.substr(0, split)}, std::string{key.substr(split + 1)}};
  const bool one_split = owner.host.find(key_separator) == std::string::npos;
  if (owner.team.empty() || owner.host.empty() || !one_split)
    return std::nullopt;
  return owner;
}

std::optional<account_record> decode_account(std::string_view key, std::string_view value) {
  const auto owner = read_account_key(key);
  if (!owner)
    return std::nullopt;
  std::array<std::uint64_t, values> numbers{};
  const char* at = value.data();
  const char* const end = value.data() + value.size();
  std::size_t read = 0;
  for (; read < values && (read == 0 || at != end); ++read) {
    if (read > 0 && *at++ != value_separator)
      return std::nullopt;
    const auto [stop, fault] = std::from_chars(at, end, numbers.at(read));
    if (fault != std::errc{})
      return std::nullopt;
    at = stop;
  }
  if (at != end || (read != values && read != values_without_promise))
    return std::nullopt;
  if (!std::all_of(numbers.begin() + 1, numbers.end(), is_plausible) || numbers[10] > 1)
    return std::nullopt;
  account known{.incarnation = numbers[0],
                .granted = numbers[1],
                .used = numbers[2],
                .rate = numbers[3],
                .lead = numbers[4],
                .pace = numbers[5],
                .later_pace = numbers[6],
                .later = to_time(numbers[7]),
                .written = {to_time(numbers[8]), to_time(numbers[9]), numbers[10] != 0}};
  // A host that promised nothing may have used all that it was granted.
  if (read == values_without_promise)
    known.lead = known.granted;
  return account_record{owner->team, owner->host, known};
}

} // namespace sedgechute
