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

/// \brief Frees the memory of the parts that have arrived, where none is ever sent again.
void release_acknowledged(table_transfer& transfer);

/// \brief How many claims a host may send in tables, so that the loss of another host doesn't fill
/// its network.
class transfer_rate_limiter {
 public:
  explicit transfer_rate_limiter(std::int64_t claims_per_s) : per_s_{claims_per_s} {}

  /// \brief Adds what the time since the last call allows, for at most one second.
  void refill(time_ms now);
  [[nodiscard]] bool is_spent() const noexcept { return left_ <= 0; }
  void spend(std::size_t claims) { left_ -= static_cast<std::int64_t>(claims); }

 private:
  std::int64_t per_s_;
  std::int64_t left_{0}; ///< below 0 after a part that was larger than what was left
  time_ms refilled_;
};

/// \returns the parts to send now, at most a few and as far as the allowance reaches, none before
/// `interval` has passed
[[nodiscard]] std::vector<table_part> due_parts(table_transfer& transfer, time_ms now,
                                                time_ms interval, const claim_shard& shard,
                                                std::uint64_t epoch,
                                                transfer_rate_limiter& limiter);

/// \returns whether the table is complete with this part
[[nodiscard]] bool note_arrival(arriving_table& arriving, const table_part& part);

} // namespace sedgechute
