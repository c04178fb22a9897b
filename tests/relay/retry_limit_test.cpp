#include "relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

// Every endpoint breaks off, so each of many requests would be sent again. The host may retry half
// as many requests as it gets, plus one; a retry must not count as a request that allows others.
TEST_CASE("a host sends no more retries than its limit allows") {
  const auto breaks_off = [](const auto&) {
    return scripted_reply{"", scripted_reply::then::reset, ""};
  };
  scripted_endpoint first{breaks_off};
  scripted_endpoint second{breaks_off};
  relay_options options;
  options.retries = {.ratio = 0.5, .slack = 1, .window = time_ms{60000}, .used_fraction = 1.0};
  relay_fixture at{1000000, options};
  at.add_endpoint("e1", first.address());
  at.add_endpoint("e2", second.address());
  constexpr std::size_t requests = 12;
  for (std::size_t i = 0; i < requests; ++i)
    CHECK(status_of(at.call("/safe/", "id-" + std::to_string(i))) == 502);
  const std::size_t sent = first.seen().size() + second.seen().size();
  CHECK(sent > requests);
  CHECK(sent <= requests + requests / 2 + 1);
}
