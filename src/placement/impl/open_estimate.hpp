#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>

namespace sedgechute {

/// \brief What a host knows of the requests at an endpoint.
struct open_knowledge {
  std::uint64_t open_here{};             ///< requests of this host
  std::uint64_t open_elsewhere{};        ///< requests of the hosts that report to it
  std::optional<std::uint64_t> reported; ///< running and waiting, as the endpoint reported
  time_ms report_age;
  std::uint64_t sent_since_report{}; ///< by this host
};

/// \brief How many hosts use the endpoints, and how many of them this host hears of.
struct host_counts {
  std::size_t all{1};   ///< this one included
  std::size_t heard{1}; ///< this one and those that report to it

  /// \returns by how much the use that is known must be multiplied to get that of all hosts
  [[nodiscard]] double hidden_factor() const noexcept {
    return heard == 0 || heard >= all ? 1.0
                                      : static_cast<double>(all) / static_cast<double>(heard);
  }
};

/// \returns an estimate of the requests that run or wait at an endpoint; never less than what is
/// known to be open there
[[nodiscard]] double estimate_open(const open_knowledge& known, const host_counts& hosts) noexcept;

} // namespace sedgechute
