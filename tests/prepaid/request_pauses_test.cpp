#include "prepaid/impl/request_pauses.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

/// \returns the pauses after `count` requests with equal spans between them
request_pauses after(int count, time_ms apart, time_ms& now) {
  request_pauses pauses;
  for (int i = 0; i < count; ++i, now += apart)
    pauses.note(now);
  now -= apart;
  return pauses;
}

} // namespace

TEST_CASE("a host without any request expects none") {
  CHECK_FALSE(request_pauses{}.active(time_ms{1000}));
}

TEST_CASE("pauses count as idle once they are twice as long as the last ones") {
  time_ms now{1000};
  const request_pauses pauses = after(20, time_ms{1500}, now);
  CHECK(pauses.active(now + time_ms{3000}));
  CHECK_FALSE(pauses.active(now + time_ms{3001}));
}

TEST_CASE("a host of many requests does not count as idle for a late thread") {
  time_ms now{1000};
  const request_pauses pauses = after(1000, time_ms{3}, now);
  CHECK(pauses.active(now + time_ms{300}));
  CHECK_FALSE(pauses.active(now + time_ms{301}));
}

// Requests that come in groups have short pauses and long ones.
TEST_CASE("one long pause among the last ones keeps a host active") {
  time_ms now{1000};
  request_pauses pauses = after(20, time_ms{10}, now);
  pauses.note(now + time_ms{2000});
  now += time_ms{2000};
  for (int i = 0; i < 15; ++i)
    pauses.note(now += time_ms{10});
  CHECK(pauses.active(now + time_ms{4000}));
  pauses.note(now += time_ms{10});
  CHECK_FALSE(pauses.active(now + time_ms{4000}));
}

// After two or three requests their pauses tell little.
TEST_CASE("a host of few requests stays active for ten seconds") {
  time_ms now{1000};
  const request_pauses pauses = after(3, time_ms{1}, now);
  CHECK(pauses.active(now + time_ms{10000}));
  CHECK_FALSE(pauses.active(now + time_ms{10001}));
}
