#include "answers.hpp"
#include "running_fleet.hpp"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

namespace {

constexpr int leaving = 0;

void ask_all(const running_fleet& fleet, int times) {
  for (int i = 0; i < times; ++i) {
    const auto got = fleet.ask(i % 2, "short " + std::to_string(i), 2);
    CHECK_MESSAGE(got.status == 200, got.body);
  }
}

bool knows_of_leaving(const running_fleet& fleet, int host) {
  const std::string text = fleet.get(host, "/metrics").body;
  const std::string state = R"(pool="lm",state="leaving"} 1)";
  return text.find(state) != std::string::npos;
}

} // namespace

// An engine is to be taken away. Word of that comes from the platform's list, from the engine or
// from the settings, whichever is first. A host that waits for another source, or for all three,
// goes on sending it work that its stop then cuts off; one that drops it at once cuts its streams.
TEST_CASE("an engine that leaves gets no new work and finishes its streams") {
  running_fleet fleet{{.hosts = 2, .engines = 2, .token_ms = 20}};
  constexpr int streams = 6;
  constexpr int tokens = 100;
  std::vector<running_fleet::answer> answers(streams);
  std::vector<std::thread> callers;
  callers.reserve(streams);
  for (int i = 0; i < streams; ++i)
    callers.emplace_back([&, i] {
      answers[static_cast<std::size_t>(i)] =
          fleet.ask(i % 2, "draft " + std::to_string(i), tokens, true);
    });
  REQUIRE(eventually([&] { return fleet.runs_at(0) + fleet.runs_at(1) == streams; }));
  REQUIRE(fleet.runs_at(leaving) > 0);

  SUBCASE("by the platform's list") {
    fleet.list_engine_as(leaving, "leaving");
  }
  SUBCASE("by its own word") {
    fleet.fault_in_engine(leaving, R"({"leaving":true})");
  }
  SUBCASE("by the fleet settings") {
    REQUIRE(fleet.drain_engine(0, leaving) == 200);
  }
  CHECK(eventually([&] { return knows_of_leaving(fleet, 0) && knows_of_leaving(fleet, 1); }));
  const int before = fleet.runs_at(leaving);
  ask_all(fleet, 30);
  CHECK(fleet.runs_at(leaving) == before);

  for (std::thread& caller : callers)
    caller.join();
  for (const auto& answer : answers) {
    CHECK_MESSAGE(answer.body.find("[DONE]") != std::string::npos, answer.body);
    CHECK(tokens_in(answer.body) == tokens);
  }
}
