#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

TEST_CASE("durations are unknown until enough runs have ended") {
  run_durations lengths;
  for (int i = 0; i < 7; ++i)
    lengths.note("a", time_ms{100});
  CHECK_FALSE(lengths.within("a", 90).has_value());
  lengths.note("a", time_ms{100});
  CHECK(lengths.within("a", 90) == time_ms{100});
  CHECK_FALSE(lengths.within("b", 90).has_value());
}

TEST_CASE("the duration within which a percentage of the last runs ended") {
  run_durations lengths;
  for (int i = 0; i < 50; ++i)
    lengths.note("a", time_ms{10000}); // replaced by the next 64
  for (int i = 1; i <= 64; ++i)
    lengths.note("a", time_ms{i});
  CHECK(lengths.within("a", 50) == time_ms{33});
  CHECK(lengths.within("a", 75) == time_ms{49});
  CHECK(lengths.within("a", 100) == time_ms{64});
}

TEST_CASE("memory is bounded for any number of kinds") {
  run_durations lengths;
  for (int kind = 0; kind < 2000; ++kind)
    for (int i = 0; i < 8; ++i)
      lengths.note(std::to_string(kind), time_ms{i});
  CHECK_FALSE(lengths.within("0", 50).has_value());
  CHECK(lengths.within("1999", 50).has_value());
}
