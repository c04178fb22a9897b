#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

failed_attempt failure(attempt_stage stage, bool idempotent) {
  failed_attempt failed;
  failed.stage = stage;
  failed.idempotent = idempotent;
  failed.deadline = 1000_s;
  return failed;
}

} // namespace

TEST_SUITE("retries") {
  TEST_CASE("a request that may have run and is not idempotent is never retried") {
    // The response to the first attempt was lost after it had run. A retry would book the order
    // twice and ship a second parcel.
    CHECK(rc::check([] {
      retry_policy policy;
      retry_budget budget{policy};
      random_source random{*rc::gen::arbitrary<std::uint64_t>()};
      failed_attempt failed =
          failure(static_cast<attempt_stage>(*rc::gen::inRange(0, 3)), *rc::gen::arbitrary<bool>());
      failed.refused_before_run = *rc::gen::arbitrary<bool>();
      failed.attempts = *rc::gen::inRange(1, 5);
      const retry_decision d = decide_retry(failed, policy, budget, random, time_ms{0});
      const bool may_have_run =
          failed.stage != attempt_stage::connecting && !failed.refused_before_run;
      if (may_have_run && !failed.idempotent) {
        RC_ASSERT(d.action == retry_action::refuse);
        RC_ASSERT(answer_for(d.refusal).outcome != run_outcome::not_run);
      }
      if (failed.attempts >= policy.max_attempts)
        RC_ASSERT(d.action == retry_action::refuse);
    }));
  }

  TEST_CASE("retries stop when every request fails, while fixed retries triple the load") {
    // A pool returns only errors for a minute. With three fixed attempts each request is sent three
    // times, and the load of the retries keeps the pool from recovering.
    retry_policy policy;
    retry_budget budget{policy};
    random_source random{1};
    for (int i = 0; i < 200; ++i)
      budget.note_success(10_ms * i);
    int retries = 0;
    int fixed_retries = 0;
    for (int i = 0; i < 6000; ++i) {
      const time_ms now{2000 + i * 10};
      const retry_decision d =
          decide_retry(failure(attempt_stage::connecting, true), policy, budget, random, now);
      retries += d.action == retry_action::retry ? 1 : 0;
      fixed_retries += 2;
    }
    CHECK(retries <= 40 + 61);
    CHECK(retries >= 60);
    CHECK(retries * 100 <= fixed_retries);
  }

  TEST_CASE("a host with little traffic can retry a few requests in a row") {
    // A prompt crashes an engine, and the next two requests are sent to the same engine before its
    // death is detected. With a reserve of one retry, the second of them was refused needlessly.
    retry_budget budget{retry_policy{}};
    const time_ms now = 60_s;
    for (int i = 0; i < 5; ++i)
      CHECK(budget.spend(now));
    CHECK_FALSE(budget.spend(now));
    CHECK_FALSE(budget.spend(now + 900_ms));
    CHECK(budget.spend(now + 1_s));
  }

  TEST_CASE(
      "the backoff doubles, has jitter of at most half, and honours the endpoint's retry-after") {
    retry_policy policy;
    random_source random{3};
    for (std::uint32_t attempts = 1; attempts < 12; ++attempts)
      for (int i = 0; i < 50; ++i) {
        const std::int64_t whole = std::min<std::int64_t>(2000, 50LL << (attempts - 1));
        const time_ms wait = backoff(policy, attempts, random);
        CHECK(wait.count() >= whole / 2);
        CHECK(wait.count() <= whole);
      }
    retry_budget budget{policy};
    failed_attempt failed = failure(attempt_stage::connecting, true);
    failed.retry_after = 3_s;
    CHECK(decide_retry(failed, policy, budget, random, time_ms{0}).wait == 3_s);
    failed.deadline = 2_s;
    CHECK(decide_retry(failed, policy, budget, random, time_ms{0}).action == retry_action::refuse);
  }

  TEST_CASE("a run that continues is resumed, idempotent or not") {
    retry_policy policy;
    retry_budget budget{policy};
    random_source random{3};
    failed_attempt failed = failure(attempt_stage::streaming, false);
    failed.resumable = true;
    CHECK(decide_retry(failed, policy, budget, random, time_ms{0}).action == retry_action::resume);
    failed.resumable = false;
    const retry_decision d = decide_retry(failed, policy, budget, random, time_ms{0});
    CHECK(d.action == retry_action::refuse);
    CHECK(d.refusal == error_kind::stream_cut);
  }

  TEST_CASE("a hedge starts only if it is safe, late enough and within the budget") {
    retry_budget budget;
    const hedge_policy policy;
    hedge_case waiting;
    waiting.idempotent = true;
    waiting.cancellable = true;
    waiting.prompt_tokens = 300;
    waiting.first_token_p95 = 200_ms;
    waiting.waited = 700_ms;
    for (int i = 0; i < 20; ++i)
      budget.note_success(time_ms{0});
    CHECK(decide_hedge(waiting, policy, budget, time_ms{0}));
    hedge_case other = waiting;
    other.idempotent = false;
    CHECK_FALSE(decide_hedge(other, policy, budget, time_ms{0}));
    other = waiting;
    other.waited = 500_ms;
    CHECK_FALSE(decide_hedge(other, policy, budget, time_ms{0}));
    other = waiting;
    other.pool_load = 0.95;
    CHECK_FALSE(decide_hedge(other, policy, budget, time_ms{0}));
    other = waiting;
    other.prompt_tokens = 30000;
    CHECK_FALSE(decide_hedge(other, policy, budget, time_ms{0}));
  }
}
