#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

// In a data centre of thirty hosts each one reported to all others every 20 ms. That made 1,450
// datagrams a second sent, and as many received, on hosts with an eighth of a core.
TEST_CASE("a host that tells many others gathers changes for longer") {
  const load_exchange_options options;
  CHECK(gather_span(options, 0) == options.gather);
  CHECK(gather_span(options, 8) == options.gather);
  for (std::size_t told = 1; told < 300; ++told) {
    const auto span = static_cast<std::size_t>(gather_span(options, told).count());
    CAPTURE(told);
    CHECK(told * 1000 <= (span + 1) * options.most_datagrams_a_second);
    CHECK(gather_span(options, told) >= options.gather);
  }
}
