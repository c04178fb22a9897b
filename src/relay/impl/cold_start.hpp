#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/peer_load_table.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Cold start of a service's endpoints.
struct cold_start_terms {
  time_ms duration;    ///< time for which an endpoint is cold after its start
  double per_second{}; ///< requests that a cold endpoint sustains; 0: there is no limit
};

/// \brief Allowance beyond the rate that cold endpoints sustain.
struct cold_start_bounds {
  double overage{1};   ///< factor of the rate
  double tolerance{0}; ///< requests in any second
};

/// \brief Split of a limit between hosts: how many send at all, and the requests of each.
struct cold_start_split {
  std::size_t senders{};
  std::size_t requests{}; ///< of each sender in any second

  bool operator==(const cold_start_split&) const = default;
};

/// \returns the requests that a cold endpoint may get in any second from all hosts together
[[nodiscard]] std::size_t cold_start_limit(const cold_start_terms& terms,
                                           const cold_start_bounds& bounds) noexcept;

/// \returns how `hosts` hosts split a limit. The sum is at most half of the limit, so that the
/// limit also holds while some hosts still know an earlier host list.
[[nodiscard]] cold_start_split split_cold_start_limit(std::size_t limit,
                                                      std::size_t hosts) noexcept;

/// \returns whether `self` is among the `senders` hosts that send requests to a cold endpoint; all
/// hosts with the same list compute the same answer (rendezvous hashing)
/// \param others  hashes of the names of all other hosts
[[nodiscard]] bool sends_to_cold(endpoint_hash endpoint, std::uint64_t self,
                                 const std::vector<std::uint64_t>& others,
                                 std::size_t senders) noexcept;

/// \brief The requests that this host has sent to one endpoint lately. Not thread-safe.
class recent_sends {
 public:
  /// \brief Counts a request that has been assigned to the endpoint, until `sent` or `cancel`.
  void assign() noexcept { ++assigned_; }
  void sent(time_ms now);
  void cancel() noexcept { assigned_ -= assigned_ > 0 ? 1 : 0; }
  /// \returns the requests assigned or sent within the last second
  [[nodiscard]] std::size_t count(time_ms now) const noexcept;
  /// \returns the requests assigned, or sent within a span of at most `kept`, and the last one
  [[nodiscard]] std::size_t count(time_ms now, time_ms span) const noexcept;

  static constexpr time_ms kept{4500};

 private:
  std::size_t assigned_{0};
  std::vector<time_ms> sent_at_; ///< oldest first; the last one and those within `kept`
};

/// \brief This host's part of the limits on cold endpoints. Not thread-safe.
class cold_start_limiter {
 public:
  explicit cold_start_limiter(const cold_start_bounds& bounds) : bounds_{bounds} {}

  void set_services(std::unordered_map<std::string, cold_start_terms> services);
  /// \param self    hash of the name of this host
  /// \param others  hashes of the names of all other hosts
  void set_hosts(std::uint64_t self, std::vector<std::uint64_t> others, time_ms now);

  /// \returns null when requests to cold endpoints of the service are not limited
  [[nodiscard]] const cold_start_terms* find_terms(const std::string& service) const;
  /// \returns the requests that this host may send to a cold endpoint in any second
  /// \param endpoint  hash of its id
  [[nodiscard]] std::size_t quota(const cold_start_terms& terms, endpoint_hash endpoint,
                                  time_ms now) const noexcept;
  /// \returns whether the hosts that share limits are known; one that has just started may not know
  /// all of them yet
  [[nodiscard]] bool hosts_settled(time_ms now) const noexcept;
  [[nodiscard]] std::size_t hosts() const noexcept { return others_.size() + 1; }
  /// \returns whether this host is among the `senders` hosts that share a limit of the endpoint
  [[nodiscard]] bool is_sender(endpoint_hash endpoint, std::size_t senders) const noexcept;
  /// \returns the number of hosts before this one in the endpoint's order
  [[nodiscard]] std::size_t rank(endpoint_hash endpoint) const noexcept;

 private:
  cold_start_bounds bounds_;
  std::unordered_map<std::string, cold_start_terms> services_;
  std::uint64_t self_{0};
  std::vector<std::uint64_t> others_;
  bool hosts_known_{false};
  time_ms first_hosts_at_;
};

} // namespace sedgechute
