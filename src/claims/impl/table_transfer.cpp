#include "claims/impl/table_transfer.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::size_t parts_in_flight = 4;

bool all_set(const std::vector<bool>& flags) {
  return std::find(flags.begin(), flags.end(), false) == flags.end();
}

} // namespace

table_transfer start_transfer(std::uint64_t number, const std::vector<claim>& claims) {
  table_transfer transfer;
  transfer.number = number;
  std::size_t next = 0;
  do {
    const std::size_t count = std::min(max_claims_per_part, claims.size() - next);
    const auto from = claims.begin() + static_cast<std::ptrdiff_t>(next);
    transfer.parts.emplace_back(from, from + static_cast<std::ptrdiff_t>(count));
    next += count;
  } while (next < claims.size());
  transfer.acknowledged.assign(transfer.parts.size(), false);
  return transfer;
}

bool is_finished(const table_transfer& transfer) {
  return all_set(transfer.acknowledged);
}

void note_ack(table_transfer& transfer, const table_part_ack& ack) {
  if (ack.transfer == transfer.number && ack.part < transfer.acknowledged.size())
    transfer.acknowledged[ack.part] = true;
}

void release_acknowledged(table_transfer& transfer) {
  for (std::size_t part = 0; part < transfer.parts.size(); ++part)
    if (transfer.acknowledged[part])
      std::vector<claim>{}.swap(transfer.parts[part]);
}

void transfer_rate_limiter::refill(time_ms now) {
  constexpr std::int64_t ms_per_s = 1000;
  const std::int64_t passed = std::min((now - refilled_).count(), ms_per_s);
  const std::int64_t added = per_s_ * passed / ms_per_s;
  if (added <= 0)
    return;
  refilled_ = now;
  left_ = std::min(left_ + added, per_s_);
}

std::vector<table_part> due_parts(table_transfer& transfer, time_ms now, time_ms interval,
                                  const claim_shard& shard, std::uint64_t epoch,
                                  transfer_rate_limiter& limiter) {
  std::vector<table_part> due;
  if (now - transfer.sent < interval)
    return due;
  const auto parts = static_cast<std::uint32_t>(transfer.parts.size());
  for (std::uint32_t part = 0; part < parts && due.size() < parts_in_flight; ++part)
    if (!transfer.acknowledged[part] && !limiter.is_spent()) {
      due.push_back({shard, epoch, transfer.known_since, transfer.until, transfer.number, part,
                     parts, transfer.parts[part]});
      limiter.spend(transfer.parts[part].size());
    }
  if (!due.empty())
    transfer.sent = now;
  return due;
}

bool note_arrival(arriving_table& arriving, const table_part& part) {
  if (part.transfer < arriving.transfer)
    return false;
  if (arriving.transfer != part.transfer || arriving.parts.size() != part.parts) {
    arriving.transfer = part.transfer;
    arriving.parts.assign(part.parts, false);
  }
  arriving.parts[part.part] = true;
  return all_set(arriving.parts);
}

} // namespace sedgechute
