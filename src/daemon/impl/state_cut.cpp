#include "daemon/impl/state_cut.hpp"

#include "daemon/impl/checkpoint_bytes.hpp"
#include "wire/wire.hpp"

namespace sedgechute {

namespace {

// A part is some 10 KB, so that a reader who asks the log for some hundred records gets few
// megabytes, and the lock under which it is read is held for a fraction of a millisecond.
constexpr std::size_t documents_per_part = 128;
constexpr std::size_t teams_per_part = 512;

} // namespace

state_cut::state_cut(std::uint64_t offset, document_service& documents, budget_service& budgets,
                     const claim_service& claims, const order_service& orders)
    : offset_{offset}, documents_{documents}, budgets_{budgets}, claims_{claims.snapshot()},
      pools_{orders.snapshot()}, document_cut_{documents.open_cut()}, ledger_cut_{
                                                                          budgets.open_cut()} {}

state_cut::~state_cut() {
  documents_.close_cut(document_cut_);
  budgets_.close_cut(ledger_cut_);
}

std::optional<std::string> state_cut::next() {
  if (finished_)
    return std::nullopt;
  wire::checkpoint part;
  part.set_offset(offset_);
  if (!documents_read_) {
    if (const auto documents = documents_.next_part(document_cut_, documents_per_part)) {
      *part.mutable_documents() = to_wire(*documents);
      return compress(part.SerializeAsString());
    }
    documents_read_ = true;
    ahead_ = budgets_.next_part(ledger_cut_, teams_per_part);
  }
  *part.mutable_ledger() = to_wire(*ahead_);
  ahead_ = budgets_.next_part(ledger_cut_, teams_per_part);
  finished_ = !ahead_;
  if (finished_) {
    *part.mutable_claims() = to_wire(claims_);
    for (const decided_pool& decided : pools_)
      *part.add_pools() = to_wire(decided);
  }
  return compress(part.SerializeAsString());
}

} // namespace sedgechute
