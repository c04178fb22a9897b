#include "daemon/impl/replicated_state.hpp"

#include "wire/wire.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Enough for some minutes of a busy log, so that a host cut off from it catches up from a peer.
constexpr std::size_t most_tail_bytes = 4U << 20U;

std::int64_t spendable(const contract& agreed) {
  return agreed.status == contract_status::active ? bought_tokens(agreed) : 0;
}

} // namespace

void replicated_state::apply(std::uint64_t offset, const std::string& data) {
  const std::scoped_lock lock{applying_};
  if (offset <= position_)
    return;
  wire::log_record record;
  // A record of a kind that this program does not know is passed over by every host of this
  // release alike; it must not stop the replay of those that follow.
  try {
    if (!record.ParseFromString(data))
      throw error{error_kind::invalid_document, "log", "not a record"};
    if (record.has_document())
      apply_document(offset, record.document());
    else if (record.has_ledger())
      budgets_.on_record(offset, from_wire(record.ledger()));
    else if (record.has_claims())
      claims_.on_record(offset, from_wire(record.claims()));
    else if (record.has_pool())
      orders_.on_claim(offset, from_wire(record.pool()));
  } catch (const error&) {
    ++unreadable_;
  }
  keep(offset, data);
  position_ = offset;
}

void replicated_state::apply_document(std::uint64_t offset, const wire::document_record& record) {
  const applied_document applied = documents_.apply(
      offset, from_wire(record), [this](const team_id& team) { return budgets_.committed(team); });
  if (applied.agreed)
    budgets_.on_contract(offset, applied.agreed->value.team, spendable(applied.agreed->value));
  if (applied.fleet)
    dispatch_.on_fleet({applied.fleet, &applied.fleet->value});
}

void replicated_state::keep(std::uint64_t offset, const std::string& data) {
  const std::scoped_lock lock{tail_mutex_};
  if (tail_.empty())
    tail_after_ = offset - 1;
  tail_.push_back({offset, data});
  tail_bytes_ += data.size();
  while (tail_bytes_ > most_tail_bytes) {
    tail_bytes_ -= tail_.front().data.size();
    tail_after_ = tail_.front().offset;
    tail_.pop_front();
  }
}

std::string replicated_state::snapshot() const {
  const std::scoped_lock lock{applying_};
  wire::checkpoint whole;
  whole.set_offset(position_);
  *whole.mutable_documents() = to_wire(documents_.snapshot());
  *whole.mutable_ledger() = to_wire(budgets_.snapshot());
  *whole.mutable_claims() = to_wire(claims_.snapshot());
  for (const decided_pool& decided : orders_.snapshot())
    *whole.add_pools() = to_wire(decided);
  return whole.SerializeAsString();
}

void replicated_state::restore(const std::string& bytes) {
  const std::scoped_lock lock{applying_};
  wire::checkpoint whole;
  if (!whole.ParseFromString(bytes))
    throw error{error_kind::invalid_document, "checkpoint", "damaged"};
  if (whole.offset() <= position_)
    throw error{error_kind::invalid_document, "checkpoint", "older than what was replayed"};
  documents_.restore(from_wire(whole.documents()));
  budgets_.restore(from_wire(whole.ledger()));
  claims_.restore(from_wire(whole.claims()));
  std::vector<decided_pool> decided;
  for (const wire::decided_pool& one : whole.pools())
    decided.push_back(from_wire(one));
  orders_.restore(decided);
  if (const auto fleet = documents_.fleet())
    dispatch_.on_fleet(fleet);
  const std::scoped_lock tail_lock{tail_mutex_};
  tail_.clear();
  tail_bytes_ = 0;
  tail_after_ = whole.offset();
  position_ = whole.offset();
}

std::uint64_t replicated_state::digest() const {
  const std::scoped_lock lock{applying_};
  return mix_hash(mix_hash(documents_.digest(), budgets_.digest()), position_);
}

wire::records_reply replicated_state::records_after(std::uint64_t after, std::size_t most) const {
  wire::records_reply reply;
  const std::scoped_lock lock{tail_mutex_};
  reply.set_replayed(position_);
  reply.set_known(after >= tail_after_);
  if (!reply.known())
    return reply;
  const auto first = std::upper_bound(
      tail_.begin(), tail_.end(), after,
      [](std::uint64_t wanted, const log_entry& kept) { return wanted < kept.offset; });
  for (auto entry = first; entry != tail_.end() && reply.records_size() < static_cast<int>(most);
       ++entry) {
    wire::relayed_record& record = *reply.add_records();
    record.set_offset(entry->offset);
    record.set_data(entry->data);
  }
  return reply;
}

} // namespace sedgechute
