#pragma once

#include "membership/membership.hpp"
#include "wire/generated/membership.pb.h"

namespace sedgechute {

/// \brief Longest name or address accepted from a peer, in bytes.
inline constexpr std::size_t max_membership_name = 128;

[[nodiscard]] wire::membership_message to_wire(const membership_message& message);

/// \throws error of kind malformed_request when a name is missing or too long, an enumeration
/// value is unknown, or there are more updates than any sender packs
[[nodiscard]] membership_message from_wire(const wire::membership_message& message);

} // namespace sedgechute
