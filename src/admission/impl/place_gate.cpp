#include "admission/impl/place_gate.hpp"

#include <algorithm>

namespace sedgechute {

bool place_gate::is_reported(const service_capacity& capacity) const noexcept {
  return capacity.usable > 0 && capacity.report_age &&
         *capacity.report_age <= options_.max_report_age;
}

// Time matters only to a request that has to wait: its service time is an estimate.
place_gate::entered place_gate::enter(const queued_request& request, time_ms unseen_after,
                                      const service_capacity& capacity, time_ms now) {
  entered result{.ended = update(capacity, now)};
  if (!is_reported(capacity)) {
    end(result.ticket, wait_end::unreported, result.ended);
    return result;
  }
  if (queue_.size() == 0 && capacity.free > placing_) {
    end(result.ticket, wait_end::granted, result.ended);
    return result;
  }
  const queue_admission admission = queue_.enter(request, now);
  if (admission.refused) {
    const bool late = *admission.refused == queue_refusal::late;
    end(result.ticket, late ? wait_end::late : wait_end::full, result.ended);
    return result;
  }
  result.ticket = *admission.ticket;
  unseen_after_[result.ticket] = unseen_after;
  if (admission.yielded)
    end(*admission.yielded, wait_end::yielded, result.ended);
  return result;
}

void place_gate::end(queue_ticket ticket, wait_end how, std::vector<event>& ended) {
  unseen_after_.erase(ticket);
  placing_ += goes_on(how) ? 1 : 0;
  ended.push_back({ticket, how});
}

std::vector<place_gate::event> place_gate::update(const service_capacity& capacity, time_ms now) {
  std::vector<event> ended;
  if (!is_reported(capacity)) {
    for (const queue_ticket ticket : queue_.next(queue_.size(), now))
      end(ticket, wait_end::unreported, ended);
    return ended;
  }
  if (capacity.free > 0)
    free_seen_ = now;
  for (const queue_ticket ticket : queue_.take_late(now))
    end(ticket, wait_end::late, ended);
  for (const queue_ticket ticket :
       queue_.next(capacity.free - std::min(capacity.free, placing_), now))
    end(ticket, wait_end::granted, ended);
  // If the places are never seen free because hosts misjudge each other's requests, the queues of
  // all hosts would stand still while the endpoints' own queues run empty. One request shows
  // whether they do, as its answer carries a new report; with all of them at once, the order of
  // arrival at the endpoints would decide.
  const bool unseen = std::ranges::any_of(queue_.entries(), [&](const auto& one) {
    return now - std::max(one.request.arrival, free_seen_) >= unseen_after_.at(one.ticket);
  });
  if (!unseen)
    return ended;
  free_seen_ = now;
  for (const queue_ticket ticket : queue_.next(1, now))
    end(ticket, wait_end::unseen, ended);
  return ended;
}

void place_gate::leave(queue_ticket ticket, time_ms now) {
  queue_.leave(ticket, now);
  unseen_after_.erase(ticket);
}

} // namespace sedgechute
