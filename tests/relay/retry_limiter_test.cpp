#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

// An endpoint fails for half a minute, and each request could be retried. Within any ten seconds
// the retries must stay within the host's share of the limit.
TEST_CASE("retries stay within the limit in every window") {
  const retry_bounds bounds{.ratio = 0.2, .slack = 58, .window = time_ms{10000}};
  retry_limiter allowance{bounds};
  constexpr std::size_t hosts = 9;
  std::vector<std::int64_t> repeats;
  std::vector<std::int64_t> requests;
  for (std::int64_t now = 0; now < 30000; now += 50) {
    allowance.note_request("s", time_ms{now});
    requests.push_back(now);
    if (allowance.take_retry("s", hosts, time_ms{now}))
      repeats.push_back(now);
  }
  CHECK(repeats.size() > 20);
  for (std::int64_t from = 0; from + 10000 <= 30000; from += 250) {
    const auto inside = [&](std::int64_t at) { return at >= from && at < from + 10000; };
    const auto sent = std::count_if(requests.begin(), requests.end(), inside);
    const auto again = std::count_if(repeats.begin(), repeats.end(), inside);
    CHECK(static_cast<double>(again) <= 0.2 * static_cast<double>(sent) + 58.0 / hosts);
  }
}

// Retries at one time use up the limit for a whole window: during it none are left, and after it
// all are available again.
TEST_CASE("retries count for a whole window") {
  retry_limiter allowance{{.ratio = 0.2, .slack = 10, .window = time_ms{10000}}};
  const auto taken_at = [&](time_ms now) {
    int taken = 0;
    while (taken < 20 && allowance.take_retry("a", 1, now))
      ++taken;
    return taken;
  };
  CHECK(taken_at(time_ms{500}) == 7);
  for (const std::int64_t now : {3000, 6000, 9000, 10499})
    CHECK(taken_at(time_ms{now}) == 0);
  CHECK(taken_at(time_ms{22000}) == 7);
}

TEST_CASE("services have separate retry limits") {
  retry_limiter allowance{{.ratio = 0.2, .slack = 10, .window = time_ms{10000}}};
  int first = 0;
  while (allowance.take_retry("a", 1, time_ms{100}))
    ++first;
  CHECK(first == 7);
  CHECK(allowance.take_retry("b", 1, time_ms{100}));
}
