#include "registration/impl/entry_histories.hpp"

#include <utility>

namespace sedgechute {

entry_histories::entry_histories(std::size_t max_removed) : max_removed_{max_removed} {}

entry_verdict entry_histories::classify(const endpoint_id& id, const entry_stamp& entry) const {
  const entry_history* const known = find(id);
  return known == nullptr ? entry_verdict::newest : sedgechute::classify(*known, entry);
}

void entry_histories::record(const endpoint_id& id, const entry_stamp& entry, entry_verdict verdict,
                             time_ms now) {
  remembered& of = known_[id];
  sedgechute::record(of.history, entry, verdict, now);
  if (of.history.presence == entry_presence::listed)
    keep_listed(of);
}

void entry_histories::record_removal(const endpoint_id& id) {
  const auto at = known_.find(id);
  if (at == known_.end())
    return;
  sedgechute::record_removal(at->second.history);
  keep_removed(id, at->second);
}

// The key may never be written again, so the history is kept like that of a removed id.
void entry_histories::record_unusable(const endpoint_id& id) {
  const auto at = known_.find(id);
  if (at == known_.end())
    return;
  sedgechute::record_unusable(at->second.history);
  keep_removed(id, at->second);
}

const entry_history* entry_histories::find(const endpoint_id& id) const {
  const auto at = known_.find(id);
  return at == known_.end() ? nullptr : &at->second.history;
}

void entry_histories::keep_listed(remembered& of) {
  removed_.erase(std::exchange(of.removal, 0));
}

void entry_histories::keep_removed(const endpoint_id& id, remembered& of) {
  keep_listed(of);
  of.removal = ++last_removal_;
  removed_.emplace(of.removal, id);
  if (removed_.size() <= max_removed_)
    return;
  known_.erase(removed_.begin()->second);
  removed_.erase(removed_.begin());
}

} // namespace sedgechute
