#pragma once

#include "routing/routing.hpp"
#include "wire/generated/peer.pb.h"
#include "wire/generated/routing.pb.h"

namespace sedgechute {

/// \brief Bounds of what is accepted from a peer; no sender exceeds them.
inline constexpr std::size_t max_routing_name = 128;
inline constexpr int max_share_reports = 64;
inline constexpr int max_teams_in_report = 256;
inline constexpr int max_quarantine_items = 1024;
inline constexpr int max_endpoints_in_use = 4096;
inline constexpr int max_prefix_places = 1024;

[[nodiscard]] wire::routing_message to_wire(const routing_message& message);

/// \throws error of kind malformed_request when a name is missing or too long, a number is not
/// finite or negative, or there is more of anything than a sender packs
[[nodiscard]] routing_message from_wire(const wire::routing_message& message);

[[nodiscard]] wire::pool_claim to_wire(const pool_claim& claim);

/// \throws error of kind malformed_request when a name is missing or too long
[[nodiscard]] pool_claim from_wire(const wire::pool_claim& claim);
[[nodiscard]] wire::decided_pool to_wire(const decided_pool& decided);
[[nodiscard]] decided_pool from_wire(const wire::decided_pool& decided);

} // namespace sedgechute
