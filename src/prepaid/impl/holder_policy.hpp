#pragma once

#include "kernel/kernel.hpp"

#include <cstddef>
#include <optional>

namespace sedgechute {

/// \brief Use of a team's tokens at one host and in the fleet.
struct holder_demand {
  double own_rate{};     ///< tokens per second that requests ask for at this host
  double fleet_rate{};   ///< tokens per second of all hosts that hold tokens, without this one
  double mean_request{}; ///< tokens
  std::size_t holders{}; ///< hosts that hold tokens, without this one
};

/// \brief Whether a host that is no holder by its name holds tokens of a team for its own requests.
struct holder_status {
  bool holds{false};
  std::optional<time_ms> contrary_since; ///< when the demand began to call for the opposite
};

/// \brief Most hosts that hold tokens of a team when another one begins to. Each of them writes
/// records, and more of them make more conditional appends fail.
constexpr std::size_t max_holders{24};

/// \returns whether requests at this host would need several loans a second
[[nodiscard]] bool is_busy(const holder_demand& demand) noexcept;

/// \returns whether a host begins or ceases to hold tokens, given its demand at `now`
[[nodiscard]] holder_status next_status(const holder_status& status, const holder_demand& demand,
                                        time_ms now) noexcept;

} // namespace sedgechute
