#pragma once

#include "kernel/kernel.hpp"

#include <compare>
#include <cstdint>

namespace sedgechute::ledger {

/// \brief Tokens; never negative in a valid state.
using token_count = std::int64_t;

/// \brief Position of a record in the stream; the first is 1.
using log_offset = std::uint64_t;

/// \brief Offset of the grant that created a delegation; also the fencing number of orders sent
/// under it. 0 stands for none.
using epoch_number = std::uint64_t;

/// \brief Counts the witnesses that an epoch has had; the first is term 0.
using witness_term = std::uint32_t;

/// \brief One attempt at one entry host; unique within the incarnation.
using ticket_number = std::uint64_t;

/// \brief Index of a name interned by one `ledger_state`; means nothing on another host.
using name_index = std::uint32_t;
inline constexpr name_index no_name = ~name_index{0};

/// \brief 128 random bits that name a record, so that a repeated append is recognised.
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
