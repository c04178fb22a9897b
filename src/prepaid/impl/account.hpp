#pragma once

#include "prepaid/impl/clock_reading.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief What one host has of one team's budget. Sums over the whole day, all its lives together.
///
/// It is also a promise that holds until the next record: so long after `written` the host has used
/// at most what `max_used` says.
struct account {
  std::uint64_t incarnation{}; ///< life of the host that wrote this
  std::uint64_t granted{};     ///< tokens that the host may use or has used
  std::uint64_t used{};        ///< of these: spent, set aside for open requests, or written off
  std::uint64_t rate{};        ///< tokens a second that the host uses lately
  std::uint64_t burst{};       ///< tokens that it may use beyond `used` at once
  std::uint64_t pace{};        ///< tokens a second that it may use beyond these
  std::uint64_t outage_pace{}; ///< the same, from `later` on
  time_ms outage_after{};      ///< after `written`
  clock_reading written;       ///< by the clocks of the host's machine

  bool operator==(const account&) const = default;

  /// \returns tokens granted that the host had not used when it wrote this.
  [[nodiscard]] constexpr std::uint64_t slack() const noexcept {
    return granted > used ? granted - used : 0;
  }
};

/// \returns the most that the host may have used so long after it wrote the account
[[nodiscard]] std::uint64_t max_used(const account& of, time_ms since_written) noexcept;

/// \returns how long after writing the account the host may have used so much; nothing where it may
///   not before its next record
[[nodiscard]] std::optional<time_ms> time_until_used(const account& of,
                                                     std::uint64_t tokens) noexcept;

struct account_record {
  std::string team;
  std::string host;
  account value;

  bool operator==(const account_record&) const = default;
};

/// \returns the key of the record: team and host, neither of which may hold a newline
[[nodiscard]] std::string account_key(std::string_view team, std::string_view host);
struct account_owner {
  std::string team;
  std::string host;
};

/// \returns nothing when the key was not written by `account_key`
[[nodiscard]] std::optional<account_owner> read_account_key(std::string_view key);
[[nodiscard]] std::string encode_account(const account& value);
/// \returns nothing when key or value were not written by the functions above, or a number is
/// beyond
///   any that a host writes
[[nodiscard]] std::optional<account_record> decode_account(std::string_view key,
                                                           std::string_view value);

} // namespace sedgechute
