#include "answers.hpp"
#include "running_fleet.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

// A prompt crashes whatever engine reads it, and its caller, told of a failure, sends it again
// through every host. Unchecked it takes down one engine after the other, and everybody's requests
// with them. After the second engine no host may send it to a third.
TEST_CASE("a prompt that crashes engines is refused everywhere after the second") {
  running_fleet fleet{{.hosts = 2, .engines = 4, .token_ms = 1}};
  REQUIRE(fleet.ask(0, "warm", 2).status == 200);
  fleet.fault_in_engines(R"({"crash_on":"ruinous","restart_ms":500})");

  const auto quarantined = [&](int host) {
    const auto got = fleet.ask(host, "a ruinous prompt", 5);
    CHECK_MESSAGE(got.status != 200, got.body);
    return got.status == 422;
  };
  CHECK(eventually([&] { return quarantined(0); }));
  CHECK(eventually([&] { return quarantined(1); }));
  CHECK(fleet.crashes() == 2);
  for (int i = 0; i < 10; ++i)
    CHECK(quarantined(i % 2));
  CHECK(fleet.crashes() == 2);
  for (int i = 0; i < 10; ++i) {
    const auto innocent = fleet.ask(i % 2, "harmless " + std::to_string(i), 5);
    CHECK_MESSAGE(innocent.status == 200, innocent.body);
  }
}
