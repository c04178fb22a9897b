#include "fleet_model.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::ledger;

namespace {

void run(fleet_model& fleet, int rounds) {
  for (int i = 0; i < rounds; ++i)
    fleet.run_round();
}

} // namespace

TEST_CASE("a request is reserved, billed once and described") {
  fleet_model fleet{{}, 1};
  run(fleet, 2);
  const std::size_t request = fleet.start_request(0, 0, 100);
  run(fleet, 12);
  REQUIRE(fleet.outcome(request) == budget_outcome::granted);
  fleet.finish_request(request, 40);
  run(fleet, 300);
  fleet.check();
  CHECK(fleet.found().first == "");
  CHECK(fleet.billed(0) == 40);
  const auto shown = fleet.host(1).describe(fleet.now(), team_id{"team-0"});
  REQUIRE(shown);
  CHECK(shown->spent == 40);
  CHECK(shown->bought == 4000);
}

TEST_CASE("without faults all bought tokens can be spent and no more") {
  fleet_model fleet{{}, 1};
  int granted = 0;
  for (std::uint32_t i = 0; i < 60; ++i) {
    const std::size_t request = fleet.start_request(i % 4, 0, 100);
    run(fleet, 40);
    if (fleet.outcome(request) != budget_outcome::granted) {
      CHECK(fleet.outcome(request) == budget_outcome::exhausted);
      continue;
    }
    ++granted;
    fleet.finish_request(request, 100);
  }
  CHECK(granted == 40);
  CHECK(fleet.billed(0) == 4000);
  fleet.heal_and_check();
  CHECK(fleet.found().first == "");
}
