#pragma once

#include "kernel/kernel.hpp"

#include <compare>
#include <cstdint>

namespace sedgechute::ledger {

/// \brief Tokens; never negative in a valid state.
using token_count = std::int64_t;

/// \brief Position of a record in the log; the first is 1.
using log_offset = std::uint64_t;

/// \brief Identifies a delegation by the offset of the grant that created it. Also the fencing
/// number of orders sent under it. 0 stands for none.
using epoch_number = std::uint64_t;

/// \brief Number of times that an epoch's witness was replaced; 0 for the first witness.
using witness_term = std::uint32_t;

/// \brief Identifies an attempt of one entry host; unique within the host's incarnation.
using ticket_number = std::uint64_t;

/// \brief Index of a name interned by one `ledger_state`; not valid on another host.
using name_index = std::uint32_t;
inline constexpr name_index no_name = ~name_index{0};

/// \brief 128 random bits that identify a record, so that a repeated append is recognised.
struct record_id {
  std::uint64_t high{};
  std::uint64_t low{};

  auto operator<=>(const record_id&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const record_id& id) { // NOLINT(readability-identifier-naming)
    return H::combine(std::move(state), id.high, id.low);
  }
};

} // namespace sedgechute::ledger
