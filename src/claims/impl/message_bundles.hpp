#pragma once

#include "claims/impl/claims_message.hpp"

namespace sedgechute {

/// \brief Most messages in one bundle.
inline constexpr std::size_t max_claims_bundle = 4;

/// \brief Messages that travel together.
struct claims_bundle {
  incarnation to;
  std::vector<claims_message> messages;
};

/// \brief Puts messages to the same host together, as far as they stay small. Their order for each
/// host is kept.
[[nodiscard]] std::vector<claims_bundle>
bundle_messages(std::vector<addressed_claims_message> messages);

} // namespace sedgechute
