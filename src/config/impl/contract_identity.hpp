#pragma once

#include "config/impl/contract.hpp"

namespace sedgechute {

/// \brief Splits off what hardly any two teams have in common: team, status, top-ups and keys.
/// \returns them as a short byte string
[[nodiscard]] std::string pack_identity(const contract& agreed);

/// \brief Puts the bytes of `pack_identity` back into `terms`.
/// \throws error `invalid_document` when the bytes are damaged
void unpack_identity(std::string_view packed, contract& terms);

/// \brief Stands for the team in shared terms, so that they pass the check of a contract.
inline constexpr std::string_view shared_terms_team = "-";

/// \returns the contract without what `pack_identity` takes
[[nodiscard]] contract terms_of(contract agreed);

} // namespace sedgechute
