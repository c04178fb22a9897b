#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/forward_declarations.hpp"

#include <optional>

namespace sedgechute {

/// \brief Asks an endpoint on a new connection when it started.
/// \returns nothing when it does not say, or not in time
[[nodiscard]] std::optional<time_ms> ask_start(connection& link, const endpoint_id& endpoint,
                                               const wire_dialect& dialect, time_ms deadline);

} // namespace sedgechute
