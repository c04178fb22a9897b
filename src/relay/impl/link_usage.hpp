#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/preparing_requests.hpp"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sedgechute {

/// \brief Bytes of requests that this host relays in each direction of its network link, over a
/// short sliding window, all and by team. Thread-safe.
///
/// Guards against callers that send more than the link carries: connections to endpoints and to the
/// store then time out, although those are reachable.
class link_usage {
 public:
  /// \param link_mbps  capacity of the link in Mbit/s; 0: unknown, without a limit
  explicit link_usage(double link_mbps) noexcept;

  /// \brief Counts an accepted request.
  /// \param bytes  size of its header and body
  void note(std::string_view team, std::size_t bytes, time_ms now);
  /// \returns whether requests may be accepted without examining them
  [[nodiscard]] bool has_capacity(time_ms now) const;
  /// \returns whether a new request of `team` is to be refused, by its share of the capacity
  [[nodiscard]] bool exceeded_by(std::string_view team, time_ms now) const;
  /// \returns the bytes that requests may bring within the window; 0: there is no limit
  [[nodiscard]] std::size_t most() const noexcept { return most_; }

 private:
  static constexpr std::size_t buckets = 5;
  struct bucket {
    std::int64_t number{-1};
    std::size_t total{};
    std::unordered_map<std::string, std::size_t> by_team;
  };

  /// \returns the usage within the window; a `preparation_load` of bytes
  [[nodiscard]] preparation_load load(std::string_view team, time_ms now) const;
  [[nodiscard]] static bool recent(const bucket& one, time_ms now) noexcept;

  std::size_t most_;
  mutable ordered_mutex mutex_{lock_rank::queues};
  std::array<bucket, buckets> window_;
};

} // namespace sedgechute
