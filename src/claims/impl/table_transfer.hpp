#pragma once

#include "claims/impl/claims_message.hpp"

#include <vector>

namespace sedgechute {

/// \brief A table being sent to another host, in parts that are repeated until acknowledged.
struct table_transfer {
  std::uint64_t number{};      ///< distinguishes late acknowledgements of an earlier transfer
  std::uint64_t known_since{}; ///< see `table_part`
  std::uint64_t until{};
  std::vector<std::vector<claim>> parts;
  std::vector<bool> acknowledged; ///< one per part
  time_ms sent;
};

/// \brief A table being received; `parts` tells which parts have arrived.
struct arriving_table {
  std::uint64_t transfer{};
  std::vector<bool> parts;
};

/// \brief Splits a table into parts.
[[nodiscard]] table_transfer start_transfer(std::uint64_t number, const std::vector<claim>& claims);

[[nodiscard]] bool is_finished(const table_transfer& transfer);

void note_ack(table_transfer& transfer, const table_part_ack& ack);

/// \brief Frees the memory of acknowledged parts; only for transfers that are never restarted.
void release_acknowledged(table_transfer& transfer);

/// \brief Limits the rate of claims sent in table transfers, so that the transfers after the loss
/// of a host don't saturate the network.
class transfer_rate_limiter {
 public:
  explicit transfer_rate_limiter(std::int64_t claims_per_s) : per_s_{claims_per_s} {}

  /// \brief Adds the claims allowed for the time since the last call, at most those of one second.
  void refill(time_ms now);
  [[nodiscard]] bool is_spent() const noexcept { return left_ <= 0; }
  void spend(std::size_t claims) { left_ -= static_cast<std::int64_t>(claims); }

 private:
  std::int64_t per_s_;
  std::int64_t left_{0}; ///< negative after a part larger than the rest
  time_ms refilled_;
};

/// \returns the unacknowledged parts to send now: a small number, as far as the limiter allows, and
/// none before `interval` has passed since the last ones
[[nodiscard]] std::vector<table_part> due_parts(table_transfer& transfer, time_ms now,
                                                time_ms interval, const claim_shard& shard,
                                                std::uint64_t epoch,
                                                transfer_rate_limiter& limiter);

/// \brief Records the arrival of a part.
/// \returns whether all parts of the table have arrived
[[nodiscard]] bool note_arrival(arriving_table& arriving, const table_part& part);

} // namespace sedgechute
