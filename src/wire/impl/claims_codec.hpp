#pragma once

#include "claims/claims.hpp"
#include "wire/generated/claims.pb.h"

namespace sedgechute {

/// \brief Longest name (host, team, data centre, endpoint) accepted from a peer, in bytes.
inline constexpr std::size_t max_claims_name = 128;
/// \brief Longest idempotency key accepted, in bytes. Callers' longer keys must be refused.
inline constexpr std::size_t max_claims_key = 256;

/// \brief Messages with the incarnations they go between; the receiver drops what is not for it.
struct claims_envelope {
  incarnation from;
  incarnation to;
  std::vector<claims_message> messages;
};

[[nodiscard]] wire::claims_message to_wire(const claims_envelope& envelope);
[[nodiscard]] wire::claims_record to_wire(const claims_record& record);
[[nodiscard]] wire::claims_snapshot to_wire(const claims_snapshot& snapshot);

/// \throws error of kind malformed_request when a name is missing or too long, an enumeration value
/// is unknown or the body is missing; the same for the other overloads
/// \param from  the sender, as the envelope around the message names it
/// \param to  the receiver
[[nodiscard]] std::vector<claims_message> from_wire(const wire::claims_message& message,
                                                    const incarnation& from, const incarnation& to);
[[nodiscard]] claims_record from_wire(const wire::claims_record& record);
[[nodiscard]] claims_snapshot from_wire(const wire::claims_snapshot& snapshot);

} // namespace sedgechute
