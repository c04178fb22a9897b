#include "daemon/impl/replicated_state.hpp"

#include "wire/wire.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

// Enough for some minutes of a busy log, so that a host cut off from it catches up from a peer.
constexpr std::size_t most_tail_bytes = 4U << 20U;
constexpr std::size_t teams_per_step = 4096;

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

// A publish is answered only after its effects: an operator who reads a budget after the answer has
// to find the new one.
void replicated_state::apply_document(std::uint64_t offset, const wire::document_record& record) {
  class finish_at_end {
   public:
    explicit finish_at_end(document_service& documents) : documents_{documents} {}
    finish_at_end(const finish_at_end&) = delete;
    finish_at_end& operator=(const finish_at_end&) = delete;
    ~finish_at_end() { documents_.finish_apply(); }

   private:
    document_service& documents_;
  };
  const finish_at_end finish{documents_};
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

std::unique_ptr<state_cut> replicated_state::cut() {
  const std::scoped_lock lock{applying_};
  return std::make_unique<state_cut>(position_, documents_, budgets_, claims_, orders_);
}

// The ledger's digest is summed up part by part, as a walk over all budgets at once would keep
// requests waiting for tens of milliseconds.
std::uint64_t replicated_state::digest() {
  const std::scoped_lock lock{applying_};
  const ledger::cut_number cut = budgets_.open_cut();
  std::uint64_t ledger = 0;
  while (const auto part = budgets_.next_part(cut, teams_per_step))
    ledger = part->digest;
  budgets_.close_cut(cut);
  return mix_hash(mix_hash(documents_.digest(), ledger), position_);
}

void replicated_state::restore_part(const std::string& bytes) {
  const std::scoped_lock lock{applying_};
  wire::checkpoint part;
  if (!part.ParseFromString(bytes))
    throw error{error_kind::invalid_document, "checkpoint", "damaged"};
  if (part.offset() <= position_ || (arriving_ != 0 && part.offset() != arriving_))
    throw error{error_kind::invalid_document, "checkpoint", "older than what was replayed"};
  if (arriving_ == 0) {
    arriving_ = part.offset();
    incomplete_ = true;
    arrived_pools_.clear();
    documents_.begin_restore();
    budgets_.begin_restore();
  }
  if (part.has_documents())
    documents_.restore_part(from_wire(part.documents()));
  if (part.has_ledger())
    budgets_.restore_part(from_wire(part.ledger()));
  if (part.has_claims())
    arrived_claims_ = from_wire(part.claims());
  for (const wire::decided_pool& one : part.pools())
    arrived_pools_.push_back(from_wire(one));
}

void replicated_state::finish_restore() {
  const std::scoped_lock lock{applying_};
  if (arriving_ == 0 || !arrived_claims_)
    throw error{error_kind::invalid_document, "checkpoint", "not whole"};
  budgets_.finish_restore();
  documents_.finish_restore();
  claims_.restore(*std::exchange(arrived_claims_, std::nullopt));
  orders_.restore(std::exchange(arrived_pools_, {}));
  if (const auto fleet = documents_.fleet())
    dispatch_.on_fleet(fleet);
  const std::scoped_lock tail_lock{tail_mutex_};
  tail_.clear();
  tail_bytes_ = 0;
  tail_after_ = arriving_;
  position_ = std::exchange(arriving_, 0);
  incomplete_ = false;
}

// The ledger has some teams of the new place by now and the others of the old one. Records after
// the old place would be applied to the former a second time, so this host goes on only from
// another whole state. One that had none before begins with nothing, as it did.
void replicated_state::abandon_restore() {
  const std::scoped_lock lock{applying_};
  arriving_ = 0;
  arrived_claims_.reset();
  documents_.abandon_restore();
  if (position_ != 0 || !incomplete_)
    return;
  budgets_.begin_restore();
  budgets_.restore_part({});
  budgets_.finish_restore();
  incomplete_ = false;
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
