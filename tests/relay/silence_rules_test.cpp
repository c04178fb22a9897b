#include "relay/relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;

namespace {

constexpr silent_send stalled{.silent_for = time_ms{1000},
                              .stall_after = time_ms{1000},
                              .time_left = time_ms{5000},
                              .may_run_again = true,
                              .retry_left = true,
                              .heard = 3,
                              .unused = 1,
                              .silent = 2};

template <typename Change>
silence_decision decide(const Change& change) {
  silent_send state = stalled;
  change(state);
  return decide_on_silence(state);
}

} // namespace

TEST_CASE("a request is sent beside a silent endpoint while others are heard") {
  CHECK(decide([](silent_send&) {}) == silence_decision::send_beside);
}

// Guards against retries spent where every endpoint of a service is silent.
TEST_CASE("a request waits while the endpoints that others wait for are silent as well") {
  CHECK(decide([](silent_send& of) { of.heard = 0; }) == silence_decision::all_silent);
  CHECK(decide([](silent_send& of) { of.heard = 1; }) == silence_decision::send_beside);
}

// Guards against retries spent as endpoints that were silent together go on one after the other.
TEST_CASE("a request waits once more when others go on after all were silent") {
  CHECK(decide([](silent_send& of) { of.all_were_silent = true; }) ==
        silence_decision::others_back);
}

// Guards against waiting for one of two dark endpoints beside others that nobody has asked.
TEST_CASE("few silent endpoints beside more unused ones do not count as all") {
  CHECK(decide([](silent_send& of) {
          of.heard = 0;
          of.unused = 300;
          of.silent = 3;
        }) == silence_decision::all_silent);
  CHECK(decide([](silent_send& of) {
          of.heard = 0;
          of.unused = 3;
        }) == silence_decision::send_beside);
  CHECK(decide([](silent_send& of) { of.heard = of.unused = of.silent = 0; }) ==
        silence_decision::send_beside);
}

// Guards against answers that are lost, as the first connection is closed soon after a second send
// to an endpoint that is as silent.
TEST_CASE("a request waits for longer while no other endpoint is heard") {
  const auto unheard = [](silent_send& of) {
    of.heard = of.silent = 0;
    of.unheard_after = time_ms{1001};
  };
  CHECK(decide(unheard) == silence_decision::none_heard);
  CHECK(is_fault_of_one(silence_decision::none_heard));
  CHECK(decide([&](silent_send& of) {
          unheard(of);
          of.silent_for = of.unheard_after;
        }) == silence_decision::send_beside);
  CHECK(decide([&](silent_send& of) {
          unheard(of);
          of.heard = 1;
        }) == silence_decision::send_beside);
}

// Endpoints are silent for 1 to 2 s; two may work on a request for 400 ms.
TEST_CASE(
    "an endpoint of a patient caller has 2 s to go on, and half of a short patience is left") {
  CHECK(unheard_timeout(time_ms{12000}) + max_overlap() >= time_ms{2000});
  CHECK(unheard_timeout(time_ms{1500}) == time_ms{750});
  CHECK(max_overlap() < time_ms{400});
}

TEST_CASE("a request waits for its silent endpoint if it may not or cannot be sent again") {
  CHECK(decide([](silent_send& of) { of.silent_for = time_ms{999}; }) ==
        silence_decision::too_short);
  CHECK(decide([](silent_send& of) { of.may_run_again = false; }) == silence_decision::runs_once);
  CHECK(decide([](silent_send& of) { of.retry_left = false; }) == silence_decision::no_retry);
  CHECK(decide([](silent_send& of) { of.time_left = time_ms{0}; }) == silence_decision::no_time);
}

// Bytes from just before all endpoints fell silent must not show that others go on.
TEST_CASE("endpoints that fell silent together are not heard within the window of activity") {
  rc::check([] {
    const time_ms pause{*rc::gen::inRange<std::int64_t>(1, 400)};
    const time_ms stall{std::max<std::int64_t>(5 * pause.count(), 600)};
    const time_ms earlier{*rc::gen::inRange<std::int64_t>(0, pause.count() + 1)};
    // The first endpoint spoke `earlier` before the last one did; both are silent since.
    RC_ASSERT(stall - earlier > activity_window(stall));
  });
}
