// Whether a request waits for tokens, and for the log or for its host's promise.

#include "prepaid/impl/token_wait.hpp"

#include "prepaid/impl/funding.hpp"
#include "prepaid/impl/loan_policy.hpp"

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

// Guards against pauses between loans that leave the log no time of a short wait.
TEST_CASE("a request at a host that knows no lender reads the log, then asks for a grant") {
  unfunded_request request{.now = time_ms{1000},
                           .began = time_ms{1000},
                           .max_wait = time_ms{75},
                           .holds = false,
                           .can_borrow = true,
                           .knows_lender = false,
                           .log_answers = true,
                           .log_helps = true};
  CHECK(plan_funding(request).step == funding_step::read);
  request.reads = 1;
  CHECK(plan_funding(request).step == funding_step::sync);
  request.knows_lender = true;
  CHECK(plan_funding(request).step == funding_step::borrow);
  CHECK(plan_funding(request).until == time_ms{1045});
  request.loans = 1;
  request.now = request.last_loan = time_ms{1044};
  CHECK(plan_funding(request).until == time_ms{1045});
  request.view_age = time_ms{1000};
  request.reads = 0;
  CHECK(plan_funding(request).step == funding_step::read);
}

// Guards against short waits that end after two lost messages.
TEST_CASE("a round with a short wait asks each host sooner, and those without an answer again") {
  loan_round round{{{"a", 1}, {"b", 1}}, 10, 0, time_ms{1075}, {}};
  std::vector<std::string> asked;
  for (time_ms now{1000}; now < time_ms{1075}; now += time_ms{1})
    if (const auto next = round.next(0, 0, now); next.kind == loan_round::action_kind::ask)
      asked.push_back(next.host);
  CHECK(asked == std::vector<std::string>{"a", "b", "a", "b", "a"});
}
