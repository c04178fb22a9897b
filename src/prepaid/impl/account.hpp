#pragma once

#include "prepaid/impl/clock_reading.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief One host's account of one team's budget: totals of the day over all incarnations of the
/// host.
///
/// An account also promises an upper bound on use until the host's next record: a given time after
/// `written` the host has used at most `max_used` tokens. If `outage_pace` is 0 the bound stops
/// growing at `outage_after`. Records of releases that set an `outage_pace` have no such end.
struct account {
  std::uint64_t incarnation{}; ///< of the host that wrote this
  std::uint64_t granted{};     ///< tokens granted to the host, used or not
  std::uint64_t used{};        ///< of these: spent, reserved for open requests, or written off
  std::uint64_t rate{};        ///< recent use, in tokens per second
  std::uint64_t burst{};       ///< promise: tokens that may be used at once, beyond `used`
  std::uint64_t pace{};        ///< promise: further tokens per second until `outage_after`
  std::uint64_t outage_pace{}; ///< promise: further tokens per second after `outage_after`
  time_ms outage_after{};      ///< time after `written` at which `outage_pace` replaces `pace`
  clock_reading written;       ///< when it was written, by the clocks of the host's machine

  bool operator==(const account&) const = default;

  /// \returns granted tokens that were unused when the account was written
  [[nodiscard]] constexpr std::uint64_t slack() const noexcept {
    return granted > used ? granted - used : 0;
  }
};

/// \returns the most tokens that the host may have used `since_written` after it wrote the account
[[nodiscard]] std::uint64_t max_used(const account& of, time_ms since_written) noexcept;

/// \returns the most tokens that the host may ever have used before it writes again
[[nodiscard]] std::uint64_t use_limit(const account& of) noexcept;

/// \returns the account with its grant lowered to `use_limit`, all of which counts as used. Its
/// host may still use that much, at any time.
[[nodiscard]] account reclaimed(const account& of) noexcept;

/// \returns the earliest time after writing the account at which the host may have used `tokens`;
/// nothing if the account never allows that
[[nodiscard]] std::optional<time_ms> time_until_used(const account& of,
                                                     std::uint64_t tokens) noexcept;

struct account_record {
  std::string team;
  std::string host;
  account value;
  /// The team's recorded budget, if it is appended together with this account.
  std::optional<std::uint64_t> recorded_budget{};

  bool operator==(const account_record&) const = default;
};

/// \brief A team's recorded budget: the most tokens that the log may have granted to all hosts. It
/// stands beside the accounts and is never lowered.
struct budget_record {
  std::string team;
  std::uint64_t tokens{};

  bool operator==(const budget_record&) const = default;
};

/// No host writes larger numbers of tokens.
inline constexpr std::uint64_t max_recorded_tokens = std::uint64_t{1} << 50U;

/// \returns the key of a host's account with a team; neither name may contain a newline
[[nodiscard]] std::string account_key(std::string_view team, std::string_view host);
struct account_owner {
  std::string team;
  std::string host;
};

/// \returns team and host of a key, or nothing if `account_key` did not write it
[[nodiscard]] std::optional<account_owner> read_account_key(std::string_view key);
/// \returns the key of a team's recorded budget, which is no key of an account
[[nodiscard]] std::string budget_key(std::string_view team);
/// \returns the team of a key, or nothing if `budget_key` did not write it
[[nodiscard]] std::optional<std::string> read_budget_key(std::string_view key);
[[nodiscard]] std::string encode_budget(std::uint64_t tokens);
/// \returns the decoded record, or nothing if the key or the value is malformed or the number
/// exceeds `max_recorded_tokens`
[[nodiscard]] std::optional<budget_record> decode_budget(std::string_view key,
                                                         std::string_view value);
[[nodiscard]] std::string encode_account(const account& value);
/// \returns the decoded record, or nothing if the key or the value is malformed or a number exceeds
/// any that a host writes
[[nodiscard]] std::optional<account_record> decode_account(std::string_view key,
                                                           std::string_view value);

} // namespace sedgechute
