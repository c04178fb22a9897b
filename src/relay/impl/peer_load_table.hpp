#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief The requests of one host in flight at one endpoint.
struct endpoint_use {
  std::uint32_t open{};          ///< number of requests
  std::uint32_t unread_tokens{}; ///< prompt tokens of those that have had no event yet

  bool operator==(const endpoint_use&) const = default;
};

/// \brief Hash of an endpoint incarnation; reports carry it instead of the longer id.
using endpoint_hash = std::uint64_t;

struct use_entry {
  endpoint_hash endpoint{};
  endpoint_use use;
};

/// \brief A prompt prefix that was sent to an endpoint, which caches it for later prompts with the
/// same prefix.
struct prefix_location {
  std::uint64_t prefix{}; ///< hash of the prefix
  endpoint_hash endpoint{};
};

/// \brief A host's report of its use of endpoints, in full or only the changes. Values replace
/// earlier ones, so the next full report corrects a lost datagram.
struct use_report {
  std::uint64_t sender{}; ///< random number, drawn at each start of a host
  std::uint32_t number{}; ///< increases with each report; older ones that arrive late are dropped
  bool whole{false};      ///< full report: endpoints without an entry are not in use
  std::vector<use_entry> entries;
  std::vector<prefix_location> prefix_locations;
};

[[nodiscard]] std::string encode_use_report(const use_report& report);
/// \returns nothing when the bytes are not a valid report
[[nodiscard]] std::optional<use_report> decode_use_report(std::string_view bytes);

/// \brief Sums the use of endpoints by all other hosts from their reports. Not thread-safe.
class peer_load_table {
 public:
  /// \param forget_after  time without a report after which a host's use is dropped
  explicit peer_load_table(time_ms forget_after) : forget_after_{forget_after} {}

  void take(const use_report& report, time_ms now);
  /// \returns the use of an endpoint by all other hosts together
  [[nodiscard]] endpoint_use at(endpoint_hash endpoint) const;
  /// \brief Drops the use of hosts that have sent no report for `forget_after`.
  void remove_silent(time_ms now);
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
