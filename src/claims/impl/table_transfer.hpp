#pragma once

#include "claims/impl/claims_message.hpp"

#include <vector>

namespace sedgechute {

/// \brief A table on its way to another host, in parts that are repeated until acknowledged.
struct table_transfer {
  std::uint64_t number{};      ///< tells late acknowledgements of an earlier transfer apart
  std::uint64_t known_since{}; ///< see `table_part`
  std::uint64_t until{};
  std::vector<std::vector<claim>> parts;
  std::vector<bool> acknowledged; ///< one per part
  time_ms sent;
};

/// \brief Which parts of a table have arrived.
struct arriving_table {
  std::uint64_t transfer{};
  std::vector<bool> parts;
};

/// \brief Cuts a table into parts.
[[nodiscard]] table_transfer start_transfer(std::uint64_t number, const std::vector<claim>& claims);

[[nodiscard]] bool is_finished(const table_transfer& transfer);

void note_ack(table_transfer& transfer, const table_part_ack& ack);

/// \returns the parts to send now, at most a few, none before `interval` has passed
[[nodiscard]] std::vector<table_part> due_parts(table_transfer& transfer, time_ms now,
                                                time_ms interval, const claim_shard& shard,
                                                std::uint64_t epoch);

/// \returns whether the table is complete with this part
[[nodiscard]] bool note_arrival(arriving_table& arriving, const table_part& part);

} // namespace sedgechute
