#pragma once

#include <cstdint>

namespace sedgechute {

/// \brief A team's weight in a pool and its limits there; 0 means no limit. The limits apply to the
/// whole fleet.
struct team_limits {
  double weight{1.0};               ///< share relative to other teams with requests
  double tokens_per_s{0.0};         ///< rate of cost
  double requests_per_s{0.0};       ///< rate of requests
  double burst_s{2.0};              ///< burst, in seconds of the rates
  std::uint32_t max_running{0};     ///< concurrent requests at endpoints
  std::uint32_t max_queued{0};      ///< waiting requests
  std::uint64_t max_queued_cost{0}; ///< waiting tokens
  double fraction{1.0};             ///< fraction of the limits that this host may use
};

} // namespace sedgechute
