#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;

namespace {

constexpr stop_bounds bounds{time_ms{8000}, time_ms{2600}, time_ms{500}};

constexpr run_forecast quick{time_ms{100}, time_ms{1500}};
constexpr run_forecast long_one{time_ms{4000}, time_ms{15000}};

} // namespace

TEST_CASE("within the notice a host takes what likely ends before the cut") {
  CHECK(may_take(bounds, time_ms{0}, quick));
  CHECK(may_take(bounds, time_ms{2599}, quick));
  CHECK(may_take(bounds, time_ms{0}, long_one));
  CHECK(may_take(bounds, time_ms{2599}, long_one));
  CHECK_FALSE(may_take(bounds, time_ms{0}, {time_ms{7501}, time_ms{15000}}));
}

// Of the long runs that were taken after the notice because most of their kind end sooner, some
// were cut: an estimate is no promise.
TEST_CASE("after the notice a host takes only what is sure to end before the cut") {
  CHECK(may_take(bounds, time_ms{2600}, quick));
  CHECK(may_take(bounds, time_ms{6000}, quick));
  CHECK_FALSE(may_take(bounds, time_ms{6001}, quick));
  CHECK_FALSE(may_take(bounds, time_ms{2600}, long_one));
}

TEST_CASE("a host ends when the notice is over and nothing runs, or at the cut") {
  CHECK_FALSE(may_end(bounds, time_ms{0}, 0));
  CHECK_FALSE(may_end(bounds, time_ms{2599}, 0));
  CHECK(may_end(bounds, time_ms{2600}, 0));
  CHECK_FALSE(may_end(bounds, time_ms{2600}, 1));
  CHECK_FALSE(may_end(bounds, time_ms{7499}, 1));
  CHECK(may_end(bounds, time_ms{7500}, 1));
}

TEST_CASE("bounds that contradict each other are named") {
  CHECK_FALSE(fault_of(bounds).has_value());
  CHECK(fault_of({time_ms{500}, time_ms{0}, time_ms{500}})->find("kept for the exit") !=
        std::string::npos);
  CHECK(fault_of({time_ms{3000}, time_ms{2600}, time_ms{500}})->find("notice") !=
        std::string::npos);
}

TEST_CASE("what is taken after the notice is never running at the cut") {
  rc::check([] {
    const auto ms = [](int most) { return time_ms{*rc::gen::inRange(0, most)}; };
    const stop_bounds any{ms(20000), ms(5000), ms(2000)};
    const run_forecast run{ms(10000), ms(20000)};
    const time_ms since = any.notice + ms(20000);
    if (may_take(any, since, run))
      RC_ASSERT(since + run.surely <= cut_after(any));
  });
}
