#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

route route_of(request_kind kind, bool resumable = false) {
  route on;
  on.kind = kind;
  on.resumable = resumable;
  on.max_attempts = 3;
  on.latency_target = time_ms{400};
  on.longest_pause = time_ms{200};
  return on;
}

constexpr send_progress after_one_send{.sends = 1, .may_have_run = true};

} // namespace

// An endpoint breaks off in the middle of its answer and may have performed the request's side
// effect; a second endpoint would perform it twice.
TEST_CASE("a request that may have run is sent again only if the route allows it") {
  for (const send_outcome end : {send_outcome::failed, send_outcome::stalled}) {
    CHECK(next_send_after(end, route_of(request_kind::unsafe), after_one_send) == next_send::none);
    CHECK(next_send_after(end, route_of(request_kind::stream), after_one_send) == next_send::none);
    CHECK(next_send_after(end, route_of(request_kind::stream, true), after_one_send) ==
          next_send::counted);
    CHECK(next_send_after(end, route_of(request_kind::safe), after_one_send) == next_send::counted);
  }
}

TEST_CASE("a request that was not run is sent again on any route, within its attempts") {
  for (const request_kind kind : {request_kind::unsafe, request_kind::stream, request_kind::safe}) {
    CHECK(next_send_after(send_outcome::not_run, route_of(kind), {.sends = 2}) ==
          next_send::counted);
    CHECK(next_send_after(send_outcome::not_run, route_of(kind), {.sends = 3}) == next_send::none);
  }
}

TEST_CASE("failed connects use no retries, but their number is limited") {
  const route on = route_of(request_kind::unsafe);
  for (const send_outcome end : {send_outcome::unreachable, send_outcome::silent}) {
    CHECK(next_send_after(end, on, {.unreachable = 2}) == next_send::uncounted);
    CHECK(next_send_after(end, on, {.unreachable = 3}) == next_send::none);
  }
}

TEST_CASE("a request is sent again after an endpoint's error only if it is safe") {
  const auto next = [](const route& on) {
    return next_send_after(send_outcome::own_error, on, after_one_send);
  };
  CHECK(next(route_of(request_kind::safe)) == next_send::counted);
  CHECK(next(route_of(request_kind::stream, true)) == next_send::none);
  CHECK(next(route_of(request_kind::unsafe)) == next_send::none);
}

TEST_CASE("nothing is sent after the caller has left or the deadline has passed") {
  const route on = route_of(request_kind::safe);
  for (const send_outcome end : {send_outcome::answered, send_outcome::caller_left,
                                 send_outcome::timed_out, send_outcome::host_stopped})
    CHECK(next_send_after(end, on, after_one_send) == next_send::none);
  CHECK(next_send_after(send_outcome::failed, on, {.sends = 1, .caller_failed = true}) ==
        next_send::none);
}

TEST_CASE("a silent endpoint is abandoned early only if the request may run again") {
  const time_ms most{60000};
  CHECK(stall_timeout(route_of(request_kind::unsafe), {}, most) == most);
  const route on = route_of(request_kind::stream, true);
  CHECK(stall_timeout(on, {.sends = 1}, most) == time_ms{1200});
  CHECK(stall_timeout(on, {.sends = 1, .events = 4}, most) == time_ms{1000});
  CHECK(stall_timeout(on, {.sends = 3, .events = 4}, most) == most);
}

TEST_CASE("the refusal tells whether the request may have run") {
  const auto refusal = [](send_outcome end, const send_progress& so_far) {
    const run_end how = end_of_run(end, so_far, "s", time_ms{500});
    REQUIRE(how.answer == final_answer::refusal);
    return *how.refusal;
  };
  const send_progress refused_progress{.sends = 1};
  CHECK(refusal(send_outcome::not_run, refused_progress).kind() == error_kind::no_capacity);
  CHECK(refusal(send_outcome::not_run, refused_progress).retry_after() == time_ms{500});
  CHECK(refusal(send_outcome::timed_out, refused_progress).kind() ==
        error_kind::deadline_unreachable);
  CHECK(refusal(send_outcome::failed, after_one_send).kind() == error_kind::endpoint_failed);
  CHECK(refusal(send_outcome::timed_out, after_one_send).kind() == error_kind::outcome_unknown);
  CHECK(refusal(send_outcome::host_stopped, after_one_send).kind() == error_kind::outcome_unknown);
}

TEST_CASE("a stream that has begun is cut and never ended with a refusal") {
  send_progress so_far = after_one_send;
  so_far.stream_begun = true;
  const run_end failed = end_of_run(send_outcome::failed, so_far, "s", time_ms{500});
  CHECK(failed.answer == final_answer::cut_stream);
  CHECK(failed.reason == "stream_cut");
  CHECK(end_of_run(send_outcome::host_stopped, so_far, "s", time_ms{500}).reason == "cut_by_stop");
  so_far.caller_failed = true;
  CHECK(end_of_run(send_outcome::failed, so_far, "s", time_ms{500}).answer == final_answer::none);
}
