#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/peer_load_table.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief A rate that an endpoint names in its answers for as long as it holds, and that is meant
/// for all hosts together. Not thread-safe.
class announced_rate {
 public:
  enum class change { none, named, changed, ended };

  /// \brief Takes the rate that an answer of the endpoint named.
  change note_named(double per_second, time_ms now);
  /// \brief Takes an answer that named none.
  /// \param sent  when its request was sent; an answer to an earlier request than the last that
  ///   named the rate may be older than that
  change note_unnamed(time_ms sent, time_ms now);
  /// \brief Takes what another host has heard.
  change note_told(double per_second, time_ms age, time_ms now);

  [[nodiscard]] bool holds() const noexcept { return per_second_.has_value(); }
  /// \returns 0 when none is named
  [[nodiscard]] double per_second() const noexcept { return per_second_.value_or(0); }
  /// \returns when it was last named, to this host or to another one
  [[nodiscard]] time_ms heard_at() const noexcept { return heard_at_; }

 private:
  std::optional<double> per_second_;
  time_ms heard_at_;
  time_ms ended_at_; ///< when the last one ended
};

/// \brief What a host has heard of a rate that an endpoint names, for the other hosts.
struct rate_entry {
  endpoint_hash endpoint{};
  double per_second{}; ///< of a limit, 0: it no longer holds
  time_ms age;         ///< since it was named, or since it ended
};

/// \returns the entries as messages that each fit into an Ethernet frame
[[nodiscard]] std::vector<std::string> encode_rates(const std::vector<rate_entry>& entries);
/// \returns nothing when the bytes are not a valid message
[[nodiscard]] std::optional<std::vector<rate_entry>> decode_rates(std::string_view bytes);

} // namespace sedgechute
