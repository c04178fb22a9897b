#pragma once

#include "config/config.hpp"
#include "ledger/ledger.hpp"
#include "routing/routing.hpp"
#include "wire/wire.hpp"

namespace sedgechute::slopes {

using token_amount = std::int64_t;

/// \brief Typical records as they stand in the log. Names and numbers have the lengths of a fleet
/// of the size that users expect, so that counted bytes are those of that fleet.
[[nodiscard]] std::string grant_record(std::size_t team, const incarnation& holder,
                                       const incarnation& witness);
/// \param first_epoch  epochs reported are this and those after it
[[nodiscard]] std::string report_record(std::uint64_t first_epoch, std::size_t rows,
                                        std::size_t version);
/// \param based_on  document records that its publisher had seen
[[nodiscard]] std::string contract_record(std::size_t team, std::uint64_t based_on);
/// \brief Settings with as many pools as the fleet has models.
[[nodiscard]] std::string fleet_record();
[[nodiscard]] std::string claim_delegation_record();
[[nodiscard]] std::string pool_claim_record();

[[nodiscard]] ledger::ledger_record ledger_of(const std::string& stored);
[[nodiscard]] document_record document_of(const std::string& stored);

/// \brief A contract like most: one top-up, one key, usual terms.
[[nodiscard]] contract usual_contract(std::size_t team);

/// \brief A host's demand in one pool.
[[nodiscard]] share_report demand_report(std::size_t host, std::size_t pool, std::size_t teams);
/// \returns bytes of an envelope between hosts with this demand in it
[[nodiscard]] std::size_t share_message_bytes(std::size_t pools, std::size_t teams);
/// \returns bytes of an envelope between hosts with so many endpoints' loads
[[nodiscard]] std::size_t load_message_bytes(std::size_t endpoints);
/// \returns bytes of an envelope between hosts with this host's use of so many endpoints
[[nodiscard]] std::size_t use_message_bytes(std::size_t endpoints);

/// \brief Wraps a message as it goes between hosts.
[[nodiscard]] wire::envelope envelope_to(const incarnation& to);

} // namespace sedgechute::slopes
