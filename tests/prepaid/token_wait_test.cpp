// Whether a request waits for tokens, and for the log or for its host's promise.

#include "prepaid/impl/token_wait.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

constexpr time_ms longest{250};
constexpr time_ms now{1000};

} // namespace

TEST_CASE(
    "a request that neither the log nor its host's promise helps in time is refused at once") {
  CHECK_FALSE(
      plan_token_wait({.now = now, .began = now, .max_promise_wait = time_ms{300}}, longest));
  CHECK_FALSE(plan_token_wait(
      {.now = now, .began = now, .covered_after = time_ms{301}, .max_promise_wait = time_ms{300}},
      longest));
}

TEST_CASE("a request of a host that is cut off waits until its promise covers it") {
  const auto wait = plan_token_wait(
      {.now = now, .began = now, .covered_after = time_ms{300}, .max_promise_wait = time_ms{300}},
      longest);
  REQUIRE(wait);
  CHECK(wait->until == now + time_ms{300});
  CHECK_FALSE(wait->for_log);
}

// If the limit counted anew, waits for the log and for the promise would add up, and a request
// would be answered after its latency target.
TEST_CASE("the limit for the promise counts from the start of the wait") {
  CHECK_FALSE(plan_token_wait({.now = now,
                               .began = now - time_ms{200},
                               .covered_after = time_ms{101},
                               .max_promise_wait = time_ms{300}},
                              longest));
}

TEST_CASE("a request waits for one exchange at a time, and for few") {
  underfunded_request request{.now = now, .began = now, .syncs = 0};
  const auto first = plan_token_wait(request, longest);
  REQUIRE(first);
  CHECK(first->for_log);
  CHECK(first->until == now + normal_sync_duration);
  request.syncs = max_syncs;
  CHECK_FALSE(plan_token_wait(request, longest));
  request.syncs = 1;
  request.began = now - longest;
  CHECK_FALSE(plan_token_wait(request, longest));
}

TEST_CASE("a request that waits for the log is looked at again when its promise covers it") {
  const auto wait = plan_token_wait({.now = now,
                                     .began = now,
                                     .syncs = 0,
                                     .covered_after = time_ms{40},
                                     .max_promise_wait = time_ms{300}},
                                    longest);
  REQUIRE(wait);
  CHECK(wait->for_log);
  CHECK(wait->until == now + time_ms{40});
}
