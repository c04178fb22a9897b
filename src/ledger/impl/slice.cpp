#include "ledger/impl/slice.hpp"

#include <algorithm>

namespace sedgechute::ledger {

bool token_request_round::complete() const noexcept {
  return std::all_of(holders.begin(), holders.end(),
                     [](const queried_holder& a) { return a.answered; });
}

void token_request_round::mark_answered(epoch_number epoch) {
  for (queried_holder& a : holders)
    a.answered |= a.epoch == epoch;
}

slice* account::live_slice() noexcept {
  for (slice& s : slices)
    if (s.state == slice_state::live)
      return &s;
  return nullptr;
}

slice* account::find(epoch_number epoch) noexcept {
  for (slice& s : slices)
    if (s.epoch == epoch)
      return &s;
  return nullptr;
}

slice* account::usable(epoch_number epoch) noexcept {
  slice* const s = find(epoch);
  return s == nullptr || s->state == slice_state::closing ? nullptr : s;
}

token_count account::reserved() const noexcept {
  token_count sum = 0;
  for (const slice& s : slices)
    sum += s.reserved;
  return sum;
}

token_count account::waiting_tokens() const noexcept {
  token_count sum = 0;
  for (const waiting_attempt& w : waiting)
    sum += w.bound;
  return sum;
}

bool account::closing() const noexcept {
  return std::any_of(slices.begin(), slices.end(),
                     [](const slice& s) { return s.state == slice_state::closing; });
}

bool account::empty() const noexcept {
  return slices.empty() && waiting.empty() && token_requests.empty() && !grant_sent;
}

} // namespace sedgechute::ledger
