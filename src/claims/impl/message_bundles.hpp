#pragma once

#include "claims/impl/claims_message.hpp"

namespace sedgechute {

/// \brief Maximum number of messages in one bundle.
inline constexpr std::size_t max_claims_bundle = 4;

/// \brief Messages to one host that are sent together.
struct claims_bundle {
  incarnation to;
  std::vector<claims_message> messages;
};

/// \brief Groups small messages by receiver and puts each large one into a bundle of its own. The
/// order of the messages to each host is kept.
[[nodiscard]] std::vector<claims_bundle>
bundle_messages(std::vector<addressed_claims_message> messages);

} // namespace sedgechute
