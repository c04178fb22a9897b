#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

constexpr retry_hint_options options{};
constexpr double middle = 0.5;

} // namespace

// The balancer sends a caller to the same host until it has seen the host busy twice: a caller that
// retries earlier is refused again.
TEST_CASE("a caller with enough time retries when the balancer avoids the busy host") {
  const time_ms wait = retry_after_pressure(time_ms{12000}, time_ms{300}, 0, options);
  CHECK(wait == options.balancer_delay - time_ms{300});
  CHECK(retry_after_pressure(time_ms{12000}, time_ms{300}, middle, options) > wait);
  CHECK(retry_after_pressure(time_ms{12000}, time_ms{60000}, 0, options) == options.soon);
  CHECK(retry_after_pressure(time_ms{3000}, time_ms{300}, 0, options) == time_ms{1000});
}

TEST_CASE("Retry-After never exceeds the usable part of the caller's time") {
  for (std::int64_t left = 0; left <= 15000; left += 50)
    for (const std::int64_t busy : {0, 500, 2000, 9000})
      for (const double drawn : {0.0, 0.3, 0.99}) {
        const time_ms wait = retry_after_pressure(time_ms{left}, time_ms{busy}, drawn, options);
        const bool usable = wait * options.usable_divisor <= time_ms{left};
        CHECK((usable || wait == options.soon));
      }
}

TEST_CASE("callers refused at the same time get different Retry-After values") {
  const time_ms first = retry_after_pressure(time_ms{12000}, time_ms{0}, 0, options);
  const time_ms last = retry_after_pressure(time_ms{12000}, time_ms{0}, 0.999, options);
  CHECK(last - first >= options.spread - time_ms{10});
}

TEST_CASE("a host that is not busy sends the shortest Retry-After") {
  CHECK(retry_after_pressure(time_ms{12000}, std::nullopt, middle, options) == options.soon);
}

// In a burst of 2.5 times what a host can prepare, it refuses requests by their number before its
// threads wake up late. It must report itself as busy to the balancer all the same.
TEST_CASE("a host that refuses requests is busy within half a second and recovers after them") {
  load_shedding shedding{shedding_options{}};
  constexpr time_ms interval{50};
  for (int i = 0; i < 10; ++i) {
    shedding.note_wake_up(time_ms{}, interval);
    shedding.note_requests(3, 5, interval);
  }
  CHECK(shedding.busy());
  CHECK(shedding.refused_fraction() == 0);
  for (int i = 0; i < 60; ++i)
    shedding.note_requests(0, 1, interval);
  CHECK_FALSE(shedding.busy());
}

TEST_CASE("one refused request does not make a host busy") {
  load_shedding shedding{shedding_options{}};
  constexpr time_ms interval{50};
  for (int i = 0; i < 20; ++i)
    shedding.note_requests(0, 2, interval);
  shedding.note_requests(1, 2, interval);
  CHECK_FALSE(shedding.busy());
}
