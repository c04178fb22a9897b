#pragma once

#include "config/impl/contract.hpp"
#include "config/impl/fleet_settings.hpp"

namespace sedgechute {

/// \returns why the contract doesn't fit the fleet settings; empty when it does. A pool of the
/// wrong kind, or one that the settings don't have, is named with its nearest name.
[[nodiscard]] std::string misfit(const contract& agreed, const fleet_settings& fleet);

/// \returns why shares of that sum don't fit; empty when they do
[[nodiscard]] std::string share_misfit(std::int64_t sum, const fleet_settings& fleet);

} // namespace sedgechute
