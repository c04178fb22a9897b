#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace sedgechute {

/// \brief How many requests may be sent to an endpoint once more. The bound holds over all hosts
/// together in any window of `window`; each host keeps to its own part of it.
struct retry_bounds {
  double ratio{0.2};      ///< of the requests for the service
  std::uint64_t slack{0}; ///< beyond the ratio, for all hosts together
  time_ms window{10000};
  /// Part of the bound that is used: windows slide, and hosts count requests at other moments than
  /// the callers do.
  double used_part{0.7};
};

/// \brief Counts requests and repeats for each service over a sliding window. Not thread-safe.
class retry_allowance {
 public:
  explicit retry_allowance(const retry_bounds& bounds) : bounds_{bounds} {}

  void note_request(const std::string& service, time_ms now);
  /// \brief Takes one repeat from the allowance.
  /// \param hosts  that share the slack
  /// \returns false when there is none left
  [[nodiscard]] bool take_repeat(const std::string& service, std::size_t hosts, time_ms now);

 private:
  static constexpr std::size_t buckets = 10;
  struct bucket {
    std::int64_t number{-1};
    std::uint64_t requests{};
    std::uint64_t repeats{};
  };
  using window = std::array<bucket, buckets + 1>; ///< one more, so that a whole window is covered

  [[nodiscard]] bucket& current(window& counts, time_ms now) const;
  [[nodiscard]] bucket sum(const window& counts, time_ms now) const;
  [[nodiscard]] std::int64_t bucket_number(time_ms now) const noexcept;

  retry_bounds bounds_;
  std::unordered_map<std::string, window> services_;
};

} // namespace sedgechute
