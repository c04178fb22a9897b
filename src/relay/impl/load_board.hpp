#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief What one host has at one endpoint.
struct endpoint_use {
  std::uint32_t open{};          ///< requests
  std::uint32_t unread_tokens{}; ///< of prompts of which no event has come

  bool operator==(const endpoint_use&) const = default;
};

/// \brief Endpoints are named by the hash of their id: a datagram holds more of them.
using endpoint_hash = std::uint64_t;

struct use_entry {
  endpoint_hash endpoint{};
  endpoint_use use;
};

/// \brief A prompt's start was sent to an endpoint, which keeps it for the next prompt that begins
/// alike.
struct start_sighting {
  std::uint64_t start{}; ///< hash of the prompt's first parts
  endpoint_hash endpoint{};
};

/// \brief What one host tells others of its use of endpoints: all of it, or what has changed.
/// Values replace earlier ones, so a lost datagram is made good by the next.
struct use_report {
  std::uint64_t sender{}; ///< drawn anew by each life of a host
  std::uint32_t number{}; ///< grows; an older report that comes late is dropped
  bool whole{false};      ///< endpoints that are not named are not used
  std::vector<use_entry> entries;
  std::vector<start_sighting> sightings;
};

[[nodiscard]] std::string encode_use_report(const use_report& report);
/// \returns nothing when the bytes are no report
[[nodiscard]] std::optional<use_report> decode_use_report(std::string_view bytes);

/// \brief The use of endpoints by all other hosts, from their reports. Pure; not thread-safe.
class load_board {
 public:
  /// \param forget_after  reports of a host that was silent for so long no longer count
  explicit load_board(time_ms forget_after) : forget_after_{forget_after} {}

  void take(const use_report& report, time_ms now);
  /// \returns what others have at an endpoint
  [[nodiscard]] endpoint_use at(endpoint_hash endpoint) const;
  /// \brief Drops hosts that have fallen silent.
  void forget_silent(time_ms now);
  [[nodiscard]] std::size_t hosts() const noexcept { return hosts_.size(); }

 private:
  struct host_view {
    std::uint32_t number{};
    time_ms heard;
    std::unordered_map<endpoint_hash, endpoint_use> uses;
  };

  void replace(host_view& host, endpoint_hash endpoint, endpoint_use use);

  time_ms forget_after_;
  std::unordered_map<std::uint64_t, host_view> hosts_;
  std::unordered_map<endpoint_hash, endpoint_use> sums_;
};

} // namespace sedgechute
