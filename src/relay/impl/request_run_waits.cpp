#include "relay/impl/request_run.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Without any free place for this part of the latency target, the places that this host counts are
// taken to be misjudged.
constexpr std::int64_t unseen_divisor = 4;

std::optional<refusal_cause> cause_of(wait_end end) noexcept {
  switch (end) {
  case wait_end::late:
    return refusal_cause::late;
  case wait_end::full:
    return refusal_cause::queue_full;
  case wait_end::yielded:
    return refusal_cause::yielded;
  case wait_end::stopping:
    return refusal_cause::stopping;
  case wait_end::granted:
  case wait_end::unseen:
  case wait_end::unreported:
  case wait_end::left:
    break;
  }
  return std::nullopt;
}

} // namespace

// A stream that goes on at one build may do so at an endpoint that leaves, whose places do not
// count.
bool request_run::has_rivals() const {
  return !build_ && admitted_.config->priorities_differ(admitted_.service);
}

// A place in the queue is worth nothing to a request that would begin to be answered later than its
// route's latency target, or end later than its deadline.
queued_request request_run::queue_entry() const {
  const route& on = *admitted_.on_route;
  const time_ms run = relay_.places_.run_time(on.name);
  queued_request entry{.flow = flow_of(admitted_),
                       .arrival = now(),
                       .deadline = admitted_.deadline,
                       .service_time = run};
  if (on.latency_target > time_ms{})
    entry.deadline = std::min(entry.deadline, in_.received + on.latency_target + run -
                                                  relay_.places_.begin_time(on.name));
  return entry;
}

place_waits::outcome request_run::await_place() {
  if (!may_wait())
    return {wait_end::granted};
  const route& on = *admitted_.on_route;
  place_waits::outcome waited =
      relay_.places_.wait({.service = admitted_.service,
                           .request = queue_entry(),
                           .unseen_after = time_ms{on.latency_target.count() / unseen_divisor},
                           .on_wait = [&] { in_.preparing.end(); }},
                          watch_, relay_.stop_);
  if (const auto cause = cause_of(waited.end))
    refuse_place(*cause);
  return waited;
}

void request_run::refuse_place(refusal_cause cause) {
  relay_.note_refused(admitted_, cause);
  if (cause == refusal_cause::stopping)
    throw error{error_kind::stopping, "host", "no endpoint has a free place, and the host stops",
                relay_.options_.stop_retry_after};
  const retry_hint_options& hints = relay_.options_.pressure_retry;
  const time_ms longest{(admitted_.deadline - now()).count() / hints.usable_divisor};
  throw error{error_kind::no_capacity, admitted_.service,
              cause == refusal_cause::late ? "no endpoint has a free place in time"
                                           : "too many requests wait for a free place",
              relay_.places_.retry_after(admitted_.service, hints.soon,
                                         std::max(longest, hints.soon), relay_.draw())};
}

} // namespace sedgechute
