#include "answers.hpp"
#include "running_fleet.hpp"

#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

// An operator's alert watches a metric of the list. It never fires, since nothing in the program
// ever sets that metric: the list was written first, and the parts that should feed it never did.
TEST_CASE("every metric that the list gives to sedgechuted is exported by a running fleet") {
  running_fleet fleet{{.hosts = 2, .engines = 1, .token_ms = 0}};
  // Engines that honour fencing are told each new decider's number: an order like any other.
  REQUIRE(fleet.publish_models(0, {chat_model}, true, "fencing") == 200);
  REQUIRE(fleet.publish(0, 1000, "little") == 200);
  for (int i = 0; i < 5; ++i)
    REQUIRE(fleet.ask(0, "a whole answer " + std::to_string(i), 5, true).status == 200);
  REQUIRE(eventually([&] { return fleet.ask(0, "more than is left", 4000).status == 402; }));
  std::string missing;
  const bool all = eventually([&] {
    const std::string text = fleet.get(0, "/metrics").body + fleet.get(1, "/metrics").body;
    missing.clear();
    for (const metric_family& family : metric_families())
      if (exports(metric_exporter::sedgechuted, family) &&
          text.find("# TYPE " + std::string{family.name} + " ") == std::string::npos)
        missing.append(family.name).append(" ");
    return missing.empty();
  });
  CHECK_MESSAGE(all, missing);
}
