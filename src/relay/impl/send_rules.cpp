#include "relay/impl/send_rules.hpp"

#include "routing/impl/attempt_rule.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// A stall is several times the usual duration: engines at full load are up to three times slower,
// and an abandoned run is wasted work.
constexpr std::int64_t targets_until_stall = 3;
constexpr std::int64_t pauses_before_stall = 5;
constexpr time_ms min_stall{600};

failed_request failed_on(const route& on, int sends, bool may_have_run,
                         bool harmless_twice) noexcept {
  return {.may_have_run = may_have_run,
          .idempotent = harmless_twice,
          .attempts = static_cast<std::uint32_t>(sends),
          .max_attempts = static_cast<std::uint32_t>(on.max_attempts)};
}

run_end refused(error_kind kind, const std::string& where, const std::string& why,
                std::optional<time_ms> retry_after = std::nullopt) {
  return {final_answer::refusal, {}, error{kind, where, why, retry_after}};
}

} // namespace

bool runs_once(const route& on) noexcept {
  return on.kind == request_kind::unsafe || (on.kind == request_kind::stream && !on.resumable);
}

bool may_run_again(const route& on, int sends) noexcept {
  return may_attempt_again(failed_on(on, sends, true, !runs_once(on)));
}

next_send next_send_after(send_outcome end, const route& on, const send_progress& so_far) noexcept {
  if (so_far.caller_failed)
    return next_send::none;
  const auto counted_if = [&](bool may_have_run, bool harmless_twice) {
    const bool allowed =
        may_attempt_again(failed_on(on, so_far.sends, may_have_run, harmless_twice));
    return allowed ? next_send::counted : next_send::none;
  };
  switch (end) {
  case send_outcome::answered:
  case send_outcome::superseded:
  case send_outcome::caller_left:
  case send_outcome::timed_out:
  case send_outcome::host_stopped:
    return next_send::none;
  case send_outcome::unreachable:
  case send_outcome::silent:
    return so_far.unreachable < so_far.max_unreachable ? next_send::uncounted : next_send::none;
  case send_outcome::withheld:
    return next_send::uncounted;
  case send_outcome::not_run:
    return counted_if(false, false);
  case send_outcome::own_error:
    return counted_if(true, on.kind == request_kind::safe);
  case send_outcome::failed:
  case send_outcome::stalled:
    return counted_if(true, !runs_once(on));
  }
  return next_send::none;
}

// An endpoint that hangs cannot be told from a slow one. When the request may run again, waiting
// for longer than several times the usual duration only delays the answer.
time_ms stall_timeout(const route& on, const send_progress& so_far, time_ms most) noexcept {
  if (!may_run_again(on, so_far.sends))
    return most;
  if (so_far.events > 0)
    return std::max(on.longest_pause * pauses_before_stall, min_stall);
  return std::max(on.latency_target * targets_until_stall, min_stall);
}

run_end end_of_run(send_outcome end, const send_progress& so_far, const std::string& service,
                   time_ms retry_after) {
  if (end == send_outcome::caller_left || so_far.caller_failed)
    return {final_answer::none, so_far.cut ? "cut_by_stop" : "caller_gone", std::nullopt};
  if (so_far.stream_begun)
    return {final_answer::cut_stream,
            end == send_outcome::host_stopped ? "cut_by_stop" : "stream_cut", std::nullopt};
  if (end == send_outcome::own_error)
    return {final_answer::endpoints_error, "endpoint_error", std::nullopt};
  if (end == send_outcome::host_stopped && !so_far.may_have_run)
    return refused(error_kind::stopping, "host", "the grace period is over");
  if (end == send_outcome::host_stopped)
    return refused(error_kind::outcome_unknown, "host",
                   "is stopping, and the request may have run");
  const bool late = end == send_outcome::timed_out;
  if (so_far.may_have_run)
    return refused(late ? error_kind::outcome_unknown : error_kind::endpoint_failed, service,
                   "the request may have run");
  return refused(late ? error_kind::deadline_unreachable : error_kind::no_capacity, service,
                 "no endpoint took the request", retry_after);
}

// Engines admit more urgent requests first. Routes with a shorter latency target come first: a
// short prompt that waits behind a long one misses its target, whereas the long one is hardly
// delayed by a short one.
int urgency_of(const route& on) noexcept {
  constexpr std::int64_t ms_per_step = 200;
  constexpr std::int64_t least_urgent = 8;
  return static_cast<int>(
      std::clamp<std::int64_t>(on.latency_target.count() / ms_per_step, 0, least_urgent));
}

} // namespace sedgechute
