#pragma once

#include "telemetry/telemetry.hpp"
#include "wire/wire.hpp"

#include <vector>

namespace sedgechute {

[[nodiscard]] wire::burn_reply to_wire(const std::vector<burn_row>& rows);
/// \brief Windows or points that this program does not have are left out.
[[nodiscard]] std::vector<burn_row> from_wire(const wire::burn_reply& reply);

} // namespace sedgechute
