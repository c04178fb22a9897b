#include "ledger/impl/witness_role.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute::ledger {

// The holder may have read its grant, or its replacement of the witness, before this host has. It
// sends `open_chunk` only after reading that record back, so an epoch or term beyond this host's
// offset exists.
bool witness_role::may_countersign(const open_chunk& message) const {
  const auto known = epochs_.find(message.epoch);
  if (known != epochs_.end() && message.term < known->second.term)
    return false;
  if (known != epochs_.end() && message.term == known->second.term && known->second.sealed &&
      !context_.is_injected(mutation::unseal))
    return false;
  const delegation* const d = context_.state.find(message.epoch);
  if (d == nullptr)
    return message.epoch > context_.state.offset();
  if (context_.is_injected(mutation::unseal))
    return true;
  if (d->state != delegation_state::live || message.term < d->term)
    return false;
  return message.term > d->term || d->witness == context_.self_index();
}

void witness_role::on_open(name_index from, const open_chunk& message) {
  if (!may_countersign(message)) {
    context_.send(from, chunk_refused{message.epoch, message.term});
    return;
  }
  watched_epoch& epoch = epochs_[message.epoch];
  if (epoch.term < message.term)
    epoch = {message.term, 0, false};
  epoch.opened = std::max(epoch.opened, message.upto);
  context_.send(from, chunk_opened{message.epoch, message.term, epoch.opened});
}

void witness_role::start_watching(const delegation& d) {
  const auto [place, added] = epochs_.try_emplace(d.epoch);
  watched_epoch& epoch = place->second;
  if (added || epoch.term < d.term)
    epoch = {d.term, 0, false};
  if (epoch.term == d.term)
    epoch.opened = std::max(epoch.opened, d.opened);
}

std::optional<countersigned_amount> witness_role::countersigned(epoch_number epoch) const {
  const auto found = epochs_.find(epoch);
  if (found == epochs_.end())
    return std::nullopt;
  return countersigned_amount{found->second.term, found->second.opened};
}

void witness_role::sync(name_index team) {
  context_.state.for_each_of(team, [&](const delegation& d) {
    const bool mine = d.witness == context_.self_index();
    const auto known = epochs_.find(d.epoch);
    // The holder may have read the record that appoints this host before this host has. Reading an
    // older record of the epoch must not drop what was countersigned meanwhile.
    const bool ahead = known != epochs_.end() && known->second.term > d.term &&
                       !context_.is_injected(mutation::forget_early_opening);
    if (mine && d.state == delegation_state::live)
      start_watching(d);
    else if (known != epochs_.end() && !ahead &&
             (!mine || d.reclaim_applied || d.state == delegation_state::closed))
      epochs_.erase(known);
  });
}

// A seal is permanent: a holder that resumes after a pause of an hour is refused, so its unopened
// tokens can be granted to others without waiting for any clock.
void witness_role::tick(time_ms now) {
  reclaim_batch batch;
  for (auto next = epochs_.begin(); next != epochs_.end();) {
    watched_epoch& epoch = next->second;
    const epoch_number number = next->first;
    const delegation* const d = context_.state.find(number);
    if (d == nullptr && number <= context_.state.offset()) {
      next = epochs_.erase(next);
      continue;
    }
    ++next;
    if (d == nullptr)
      continue;
    const bool lost =
        !context_.live.is_live(d->holder) &&
        now - context_.live.absent_since(d->holder) >= context_.options().suspect_wait;
    if (epoch.sealed || !lost || epoch.term != d->term || d->witness != context_.self_index())
      continue;
    epoch.sealed = true;
    batch.epochs.push_back({number, epoch.term, epoch.opened});
  }
  if (!batch.epochs.empty())
    context_.append(now, std::move(batch));
}

} // namespace sedgechute::ledger
