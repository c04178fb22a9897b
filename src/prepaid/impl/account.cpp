#include "prepaid/impl/account.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace sedgechute {

namespace {

constexpr char key_separator = '\n';
constexpr char value_separator = ' ';
constexpr std::size_t value_count = 11;
constexpr std::size_t legacy_value_count = 4; // as written by an earlier release

// Sums of accounts must not overflow: a few numbers near the limit of 64 bits would wrap to a small
// sum, and tokens that are already granted would be granted again.
constexpr bool is_plausible(std::uint64_t number) noexcept {
  return number <= max_recorded_tokens;
}

constexpr double ms_per_second = 1000;

double burst_limit(const account& of) noexcept {
  return static_cast<double>(of.used) + static_cast<double>(of.burst);
}

double paced(std::uint64_t pace, time_ms span) noexcept {
  return static_cast<double>(pace) * static_cast<double>(span.count()) / ms_per_second;
}

/// \returns the time after which `tokens` are used at `pace`, rounded up to the next millisecond
time_ms time_to_use(double tokens, std::uint64_t pace) noexcept {
  constexpr double longest_ms = 1e9; // keeps the result in range, however small the pace
  const double span = tokens * ms_per_second / static_cast<double>(pace);
  return time_ms{static_cast<std::int64_t>(std::min(span, longest_ms)) + 1};
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

std::uint64_t max_used(const account& of, time_ms since_written) noexcept {
  const time_ms elapsed = std::max(since_written, time_ms{});
  const time_ms at_first = std::min(elapsed, of.outage_after);
  const double allowed =
      burst_limit(of) + paced(of.pace, at_first) + paced(of.outage_pace, elapsed - at_first);
  if (allowed >= static_cast<double>(of.granted))
    return of.granted;
  return static_cast<std::uint64_t>(allowed);
}

std::uint64_t use_limit(const account& of) noexcept {
  return of.outage_pace > 0 ? of.granted : max_used(of, of.outage_after);
}

// Incarnation and clocks stay those of the host: if it still runs, it takes the record as its own,
// and a later incarnation counts the same tokens as used by it.
account reclaimed(const account& of) noexcept {
  const std::uint64_t limit = use_limit(of);
  return {.incarnation = of.incarnation, .granted = limit, .used = limit, .written = of.written};
}

std::optional<time_ms> time_until_used(const account& of, std::uint64_t tokens) noexcept {
  if (tokens > of.granted)
    return std::nullopt;
  const auto desired = static_cast<double>(tokens);
  const double at_once = burst_limit(of);
  if (desired <= at_once)
    return time_ms{};
  const double by_later = at_once + paced(of.pace, of.outage_after);
  if (desired <= by_later)
    return time_to_use(desired - at_once, of.pace);
  if (of.outage_pace == 0)
    return std::nullopt;
  return of.outage_after + time_to_use(desired - by_later, of.outage_pace);
}

std::string encode_account(const account& value) {
  std::string text = std::to_string(value.incarnation);
  for (const std::uint64_t number :
       {value.granted, value.used, value.rate, value.burst, value.pace, value.outage_pace})
    text += value_separator + std::to_string(number);
  for (const time_ms span : {value.outage_after, value.written.boot, value.written.wall})
    text += value_separator + std::to_string(span.count());
  return text + value_separator + (value.written.from_median ? '1' : '0');
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

// Releases that record no budgets read this key as one that names no host, and pass over it.
std::string budget_key(std::string_view team) {
  return account_key(team, "");
}

std::optional<std::string> read_budget_key(std::string_view key) {
  const std::size_t split = key.find(key_separator);
  if (split == 0 || split == std::string_view::npos || split + 1 != key.size())
    return std::nullopt;
  return std::string{key.substr(0, split)};
}

std::string encode_budget(std::uint64_t tokens) {
  return std::to_string(tokens);
}

std::optional<budget_record> decode_budget(std::string_view key, std::string_view value) {
  auto team = read_budget_key(key);
  std::uint64_t tokens{};
  const char* const end = value.data() + value.size();
  const auto [stop, fault] = std::from_chars(value.data(), end, tokens);
  if (!team || fault != std::errc{} || stop != end || !is_plausible(tokens))
    return std::nullopt;
  return budget_record{std::move(*team), tokens};
}

std::optional<account_record> decode_account(std::string_view key, std::string_view value) {
  const auto owner = read_account_key(key);
  if (!owner)
    return std::nullopt;
  std::array<std::uint64_t, value_count> numbers{};
  const char* at = value.data();
  const char* const end = value.data() + value.size();
  std::size_t read = 0;
  for (; read < value_count && (read == 0 || at != end); ++read) {
    if (read > 0 && *at++ != value_separator)
      return std::nullopt;
    const auto [stop, fault] = std::from_chars(at, end, numbers.at(read));
    if (fault != std::errc{})
      return std::nullopt;
    at = stop;
  }
  if (at != end || (read != value_count && read != legacy_value_count))
    return std::nullopt;
  if (!std::all_of(numbers.begin() + 1, numbers.end(), is_plausible) || numbers[10] > 1)
    return std::nullopt;
  account known{.incarnation = numbers[0],
                .granted = numbers[1],
                .used = numbers[2],
                .rate = numbers[3],
                .burst = numbers[4],
                .pace = numbers[5],
                .outage_pace = numbers[6],
                .outage_after = to_time(numbers[7]),
                .written = {to_time(numbers[8]), to_time(numbers[9]), numbers[10] != 0}};
  // An account without a promise allows the use of all granted tokens.
  if (read == legacy_value_count)
    known.burst = known.granted;
  return account_record{owner->team, owner->host, known};
}

} // namespace sedgechute
