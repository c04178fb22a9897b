#pragma once

#include "clients/clients.hpp"
#include "routing/routing.hpp"

#include <optional>
#include <string>

namespace sedgechute {

/// \returns an order as the body of `POST /orders`.
[[nodiscard]] std::string order_body(const engine_order& order);

/// \brief Sends an order to an engine.
/// \returns its answer; nothing when none came, so that the order may have been carried out
[[nodiscard]] std::optional<order_answer> send_order(const http_target& engine,
                                                     const engine_order& order, time_ms timeout);

} // namespace sedgechute
