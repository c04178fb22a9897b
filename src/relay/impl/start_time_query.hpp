#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/forward_declarations.hpp"

#include <optional>

namespace sedgechute {

/// \brief Queries the start time of an endpoint on a new connection.
/// \returns nothing when there is no valid reply before the deadline
[[nodiscard]] std::optional<time_ms> query_start_time(connection& link, const endpoint_id& endpoint,
                                                      const wire_dialect& dialect,
                                                      time_ms deadline);

} // namespace sedgechute
