#pragma once

#include <cstdint>

namespace sedgechute {

/// \brief A team's share of a pool and its limits there. A limit of 0 means none. The limits hold
/// over all hosts; `fraction` is the part of them that this host may use.
struct team_limits {
  double weight{1.0};               ///< share relative to the other teams with work
  double tokens_per_s{0.0};         ///< rate of cost, in tokens
  double requests_per_s{0.0};       ///< rate of requests
  double burst_s{2.0};              ///< seconds of rate that may be used at once
  std::uint32_t max_running{0};     ///< requests at endpoints at once
  std::uint32_t max_queued{0};      ///< requests waiting at once
  std::uint64_t max_queued_cost{0}; ///< tokens waiting at once
  double fraction{1.0};             ///< this host's part of the limits above
};

} // namespace sedgechute
