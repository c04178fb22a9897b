#pragma once

#include "claims/claims.hpp"
#include "wire/generated/claims.pb.h"

namespace sedgechute {

/// \brief Longest name (host, team, data centre, endpoint) accepted from a peer, in bytes.
inline constexpr std::size_t max_claims_name = 128;
/// \brief Longest idempotency key accepted, in bytes. Callers' longer keys must be refused.
inline constexpr std::size_t max_claims_key = 256;

/// \brief A message with the incarnations it goes between; the receiver drops what is not for it.
struct claims_envelope {
  incarnation from;
  incarnation to;
  claims_message message;

  bool operator==(const claims_envelope&) const = default;
};

[[nodiscard]] wire::claims_message to_wire(const claims_envelope& envelope);
[[nodiscard]] wire::claims_record to_wire(const claims_record& record);
[[nodiscard]] wire::claims_snapshot to_wire(const claims_snapshot& snapshot);

/// \throws error of kind malformed_request when a name is missing or too long, an enumeration value
/// is unknown or the body is missing; the same for the other overloads
[[nodiscard]] claims_envelope from_wire(const wire::claims_message& message);
[[nodiscard]] claims_record from_wire(const wire::claims_record& record);
[[nodiscard]] claims_snapshot from_wire(const wire::claims_snapshot& snapshot);

} // namespace sedgechute
