#pragma once

#include "ledger/ledger.hpp"
#include "wire/generated/ledger.pb.h"

namespace sedgechute {

/// \brief Longest team, host or key accepted from a peer or the log, in bytes.
inline constexpr std::size_t max_ledger_name = 256;

/// \brief Largest amount accepted, so that sums of amounts cannot overflow.
inline constexpr ledger::token_count max_ledger_tokens = ledger::token_count{1} << 52U;

[[nodiscard]] wire::ledger_message to_wire(const ledger::ledger_message& message);
[[nodiscard]] wire::ledger_record to_wire(const ledger::ledger_record& record);
[[nodiscard]] wire::ledger_snapshot to_wire(const ledger::ledger_snapshot& snapshot);

/// \throws error of kind malformed_request when a name is missing or too long, an amount is
/// negative or too large, an enumeration value is unknown, or the body is missing
[[nodiscard]] ledger::ledger_message from_wire(const wire::ledger_message& message);

/// \throws error of kind invalid_document, likewise
[[nodiscard]] ledger::ledger_record from_wire(const wire::ledger_record& record);

/// \throws error of kind invalid_document, likewise, and when columns differ in length
[[nodiscard]] ledger::ledger_snapshot from_wire(const wire::ledger_snapshot& snapshot);

} // namespace sedgechute
