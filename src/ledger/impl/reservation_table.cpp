#include "ledger/impl/reservation_table.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute::ledger {

reservation* reservation_table::find(const reservation_key& key) {
  const auto found = reservations_.find(key);
  return found == reservations_.end() ? nullptr : &found->second;
}

reservation& reservation_table::add(const reservation_key& key, reservation made, time_ms due) {
  reservation& added = reservations_.insert_or_assign(key, std::move(made)).first->second;
  schedule_check(key, added, due);
  return added;
}

void reservation_table::schedule_check(const reservation_key& key, reservation& r, time_ms due) {
  r.next_check = due;
  std::deque<due_key>& queue =
      first_queue_.empty() || first_queue_.back().due <= due ? first_queue_ : second_queue_;
  queue.push_back({due, key});
}

std::optional<reservation_key> reservation_table::next_due(time_ms now) {
  for (std::deque<due_key>* const queue : {&first_queue_, &second_queue_}) {
    if (queue->empty() || queue->front().due > now)
      continue;
    reservation_key key = std::move(queue->front().key);
    queue->pop_front();
    return key;
  }
  return std::nullopt;
}

} // namespace sedgechute::ledger
