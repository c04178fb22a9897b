#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace sedgechute;

namespace {

constexpr stop_bounds bounds{time_ms{8000}, time_ms{2600}, time_ms{500}};

constexpr run_forecast quick{time_ms{100}, time_ms{1500}};
constexpr run_forecast long_one{time_ms{4000}, time_ms{15000}};

} // namespace

TEST_CASE("within the notice a host accepts what likely ends before the cutoff") {
  CHECK(may_take(bounds, time_ms{0}, quick));
  CHECK(may_take(bounds, time_ms{2599}, quick));
  CHECK(may_take(bounds, time_ms{0}, long_one));
  CHECK(may_take(bounds, time_ms{2599}, long_one));
  CHECK_FALSE(may_take(bounds, time_ms{0}, {time_ms{7501}, time_ms{15000}}));
}

// The likely duration holds only for most requests of a kind, so some of those accepted by it are
// cut off.
TEST_CASE("after the notice a host accepts only what is certain to end before the cutoff") {
  CHECK(may_take(bounds, time_ms{2600}, quick));
  CHECK(may_take(bounds, time_ms{6000}, quick));
  CHECK_FALSE(may_take(bounds, time_ms{6001}, quick));
  CHECK_FALSE(may_take(bounds, time_ms{2600}, long_one));
}

TEST_CASE("a host exits when the notice is over and no request is open, or at the cutoff") {
  CHECK_FALSE(may_end(bounds, time_ms{0}, 0));
  CHECK_FALSE(may_end(bounds, time_ms{2599}, 0));
  CHECK(may_end(bounds, time_ms{2600}, 0));
  CHECK_FALSE(may_end(bounds, time_ms{2600}, 1));
  CHECK_FALSE(may_end(bounds, time_ms{7499}, 1));
  CHECK(may_end(bounds, time_ms{7500}, 1));
}

TEST_CASE("contradictory bounds are detected") {
  CHECK(fault_of(bounds) == stop_fault::none);
  CHECK(fault_of({time_ms{500}, time_ms{0}, time_ms{500}}) == stop_fault::no_time);
  CHECK(fault_of({time_ms{3000}, time_ms{2600}, time_ms{500}}) == stop_fault::notice_too_long);
}

// The grace is configurable. If the steps of the exit took longer than the time kept for it, the
// process would be killed, and tokens and log lines would be lost.
TEST_CASE("the steps of the exit fit into the time kept for it") {
  rc::check([] {
    const stop_bounds any{time_ms{*rc::gen::inRange(0, 700000)}, time_ms{0},
                          time_ms{*rc::gen::inRange(0, 5000)}};
    const exit_timeouts spans = exit_timeouts_for(any, cut_after(any));
    RC_ASSERT(cut_after(any) + spans.answers + spans.exchange + spans.lines <= any.grace);
    RC_ASSERT(spans.answers >= time_ms{0} && spans.lines >= time_ms{0});
  });
  const exit_timeouts usual = exit_timeouts_for(bounds, cut_after(bounds));
  CHECK(usual.answers == time_ms{100});
  CHECK(usual.exchange == time_ms{250});
  CHECK(usual.lines == time_ms{100});
}

// A host that was stalled or got no CPU time reaches the cutoff late. Full-length steps would
// exceed the grace, and the process would be killed before its last log lines are written.
TEST_CASE("the steps of an exit that begins late are shorter") {
  rc::check([] {
    const auto ms = [](int most) { return time_ms{*rc::gen::inRange(0, most)}; };
    const stop_bounds any{ms(20000), time_ms{0}, ms(5000)};
    const time_ms since = ms(25000);
    const exit_timeouts spans = exit_timeouts_for(any, since);
    const time_ms all = spans.answers + spans.exchange + spans.lines;
    RC_ASSERT(since + all <= std::max(any.grace, since));
    RC_ASSERT(all <= any.kept_for_exit);
    RC_ASSERT(spans.answers >= time_ms{0} && spans.exchange >= time_ms{0} &&
              spans.lines >= time_ms{0});
  });
  const exit_timeouts late = exit_timeouts_for(bounds, time_ms{7900});
  CHECK(late.answers == time_ms{20});
  CHECK(late.exchange == time_ms{50});
  CHECK(late.lines == time_ms{20});
  const exit_timeouts early = exit_timeouts_for(bounds, time_ms{2600});
  CHECK(early.answers == time_ms{100});
}

TEST_CASE("no request accepted after the notice runs at the cutoff") {
  rc::check([] {
    const auto ms = [](int most) { return time_ms{*rc::gen::inRange(0, most)}; };
    const stop_bounds any{ms(20000), ms(5000), ms(2000)};
    const run_forecast run{ms(10000), ms(20000)};
    const time_ms since = any.notice + ms(5000);
    RC_ASSERT(may_take(any, since, run) == (since + run.surely <= cut_after(any)));
  });
}
