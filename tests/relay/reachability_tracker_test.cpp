#include "relay/relay.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

const data_centre_id here{"here"};
const data_centre_id there{"there"};

endpoint_id endpoint(int number) {
  return endpoint_id{"e" + std::to_string(number)};
}

} // namespace

// A data centre is cut off, and connects to its endpoints time out. After three of them no request
// waits for a fourth.
TEST_CASE("three silent endpoints mark their data centre as unreachable") {
  reachability_tracker watch{reachability_options{}};
  for (int i = 0; i < 3; ++i) {
    CHECK(watch.reachable(endpoint(9), there));
    watch.note_unreachable(endpoint(i), there, true, time_ms{100});
  }
  CHECK_FALSE(watch.reachable(endpoint(9), there));
  CHECK(watch.reachable(endpoint(9), here));
}

// The network recovers and one probe succeeds: all endpoints of the data centre are used again at
// once.
TEST_CASE("one reachable endpoint makes its data centre reachable again") {
  reachability_tracker watch{reachability_options{}};
  for (int i = 0; i < 5; ++i)
    watch.note_unreachable(endpoint(i), there, true, time_ms{100});
  watch.note_reachable(endpoint(2), there);
  for (int i = 0; i < 10; ++i)
    CHECK(watch.reachable(endpoint(i), there));
}

TEST_CASE("refused connections do not mark a data centre as unreachable") {
  reachability_tracker watch{reachability_options{}};
  for (int i = 0; i < 5; ++i)
    watch.note_unreachable(endpoint(i), there, false, time_ms{100});
  CHECK(watch.reachable(endpoint(9), there));
  CHECK_FALSE(watch.reachable(endpoint(0), there));
}

TEST_CASE("probes back off and are limited per round") {
  reachability_tracker watch{reachability_options{}};
  for (int i = 0; i < 10; ++i)
    watch.note_unreachable(endpoint(i), there, true, time_ms{0});
  CHECK(watch.due(time_ms{100}).empty());
  CHECK(watch.due(time_ms{300}).size() == reachability_options{}.max_probes);
  reachability_tracker single{reachability_options{}};
  single.note_unreachable(endpoint(1), there, false, time_ms{0});
  CHECK(single.due(time_ms{250}).size() == 1);
  single.note_unreachable(endpoint(1), there, false, time_ms{250});
  CHECK(single.due(time_ms{600}).empty());
  CHECK(single.due(time_ms{750}).size() == 1);
}

// Three silent endpoints of a data centre were replaced before any probe reached them. The data
// centre stayed unreachable for good, as no unreachable endpoint was left to be probed.
TEST_CASE("removed endpoints do not keep their data centre unreachable") {
  reachability_tracker watch{reachability_options{}};
  const data_centre_id centre{"dc"};
  for (const char* id : {"a", "b", "c"})
    watch.note_unreachable(endpoint_id{id}, centre, true, time_ms{0});
  REQUIRE_FALSE(watch.reachable(endpoint_id{"new"}, centre));
  watch.forget(endpoint_id{"a"});
  CHECK(watch.reachable(endpoint_id{"new"}, centre));
  for (const char* id : {"b", "c"})
    watch.forget(endpoint_id{id});
  watch.note_unreachable(endpoint_id{"d"}, centre, true, time_ms{0});
  watch.note_unreachable(endpoint_id{"f"}, centre, true, time_ms{0});
  CHECK(watch.reachable(endpoint_id{"new"}, centre));
}
