#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>

namespace sedgechute {

/// \brief How many hosts use the endpoints, and how many of them this host hears of.
struct host_counts {
  std::size_t all{1};   ///< this one included
  std::size_t heard{1}; ///< this one and those that report to it

  /// \returns by how much the use that is known must be multiplied to get that of all hosts
  [[nodiscard]] double hidden_factor() const noexcept {
    return heard == 0 || heard >= all ? 1.0 : static_cast<double>(all) / static_cast<double>(heard);
  }
};

/// \brief What a host knows of the load at an endpoint: requests, or prompt tokens.
struct known_load {
  double here{};                  ///< of this host
  double elsewhere{};             ///< of the hosts that report to it
  std::optional<double> hidden{}; ///< of all others; nothing: the endpoint has reported nothing
  double sent_since_report{};     ///< by this host, also what has ended
};

/// \returns an estimate of the load at an endpoint; never less than what is known to be there
[[nodiscard]] double estimate_load(const known_load& known, const host_counts& hosts) noexcept;

} // namespace sedgechute
