#include "prepaid/prepaid.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

clock_reading at(std::int64_t boot, std::int64_t wall, bool from_median = false) {
  return {time_ms{boot}, time_ms{wall}, from_median};
}

/// A machine's clocks, and other hosts' times of day relative to its own.
struct clock_fixture {
  void observe(int host, std::int64_t ahead) {
    clocks.observe("h" + std::to_string(host), wall_time() + time_ms{ahead});
  }

  boot_clock since_start;
  fleet_clock clocks{since_start};
};

} // namespace

TEST_CASE("after a kill the clocks bound the time since then") {
  CHECK(max_elapsed(at(5000, 900000), at(6500, 901500)) == time_ms{1500});
  CHECK(max_elapsed(at(5000, 900000), at(6500, 901600)) == time_ms{1600});
}

// A power loss restarts the boot clock. The time of day may have been set back meanwhile, so more
// time may have passed than it shows.
TEST_CASE("after a loss of power the time of day counts, with a margin") {
  const auto passed = max_elapsed(at(5000000, 900000), at(12, 902000));
  REQUIRE(passed.has_value());
  CHECK(*passed >= time_ms{2000 + 2400});
  CHECK(*passed <= time_ms{2000 + 4000});
}

TEST_CASE("a median of several clocks needs less of a margin") {
  const auto by_one = max_elapsed(at(5000000, 900000), at(12, 902000));
  const auto from_median = max_elapsed(at(5000000, 900000, true), at(12, 902000, true));
  const auto mixed = max_elapsed(at(5000000, 900000, true), at(12, 902000, false));
  REQUIRE(from_median.has_value());
  CHECK(*from_median >= time_ms{2000});
  CHECK(*from_median < *by_one);
  CHECK(mixed == by_one);
}

// The time of day was set back by two seconds while the process was down for three: the boot clock
// still shows the elapsed time.
TEST_CASE("a time of day that was set back does not shorten the time since a kill") {
  const auto passed = max_elapsed(at(5000, 900000), at(8000, 901000));
  REQUIRE(passed.has_value());
  CHECK(*passed >= time_ms{3000});
}

TEST_CASE("a time of day far before the last record gives no bound") {
  CHECK_FALSE(max_elapsed(at(5000000, 900000), at(12, 800000)).has_value());
}

TEST_CASE("with few other hosts the time of day is this machine's own") {
  clock_fixture fixture;
  for (int host = 0; host < 3; ++host)
    fixture.observe(host, 5000);
  CHECK_FALSE(fixture.clocks.reading().from_median);
}

// The time of day of two of nine machines was set, this one among them. The other clocks outvote
// both.
TEST_CASE("a clock that was set does not move the median") {
  clock_fixture fixture;
  fixture.observe(0, -2400);
  for (int host = 1; host < 8; ++host)
    fixture.observe(host, 2000 + host);
  const clock_reading here = fixture.clocks.reading();
  CHECK(here.from_median);
  const time_ms off = here.wall - wall_time();
  CHECK(off >= time_ms{1900});
  CHECK(off <= time_ms{2100});
}

TEST_CASE("the start of an incarnation is corrected by the clocks known later") {
  clock_fixture fixture;
  const clock_reading started = fixture.clocks.reading();
  CHECK(fixture.clocks.restated(started) == started);
  for (int host = 0; host < 8; ++host)
    fixture.observe(host, 1000);
  const clock_reading better = fixture.clocks.restated(started);
  CHECK(better.from_median);
  CHECK(better.boot == started.boot);
  CHECK(better.wall - started.wall >= time_ms{900});
}
