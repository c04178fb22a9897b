#pragma once

#include "kernel/kernel.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace sedgechute {

/// \brief Limit on retries within any time `window`. It holds for all hosts together; each host
/// keeps to its share.
struct retry_bounds {
  double ratio{0.2};      ///< retries per request for the service
  std::uint64_t slack{0}; ///< retries beyond the ratio, for all hosts together
  time_ms window{10000};
  /// Fraction of the limit that is used. The rest is a margin, because windows slide and hosts
  /// count requests at other times than callers do.
  double used_fraction{0.7};
};

/// \brief Retry budget: counts requests and retries of each service over a sliding window. Not
/// thread-safe.
class retry_limiter {
 public:
  explicit retry_limiter(const retry_bounds& bounds) : bounds_{bounds} {}

  void note_request(const std::string& service, time_ms now);
  /// \returns whether the budget of a service allows one more retry
  /// \param hosts  number of hosts that share the slack
  [[nodiscard]] bool has_retry(const std::string& service, std::size_t hosts, time_ms now);
  /// \brief Takes one retry from the budget of a service.
  /// \param hosts  number of hosts that share the slack
  /// \returns false when the budget is used up
  [[nodiscard]] bool take_retry(const std::string& service, std::size_t hosts, time_ms now);

 private:
  static constexpr std::size_t buckets = 10;
  struct bucket {
    std::int64_t number{-1};
    std::uint64_t requests{};
    std::uint64_t retries{};
  };
  using window = std::array<bucket, buckets + 1>; ///< the current bucket is incomplete, so one more

  [[nodiscard]] bucket& current(window& counts, time_ms now) const;
  [[nodiscard]] bucket sum(const window& counts, time_ms now) const;
  [[nodiscard]] std::int64_t bucket_number(time_ms now) const noexcept;

  retry_bounds bounds_;
  std::unordered_map<std::string, window> services_;
};

} // namespace sedgechute
