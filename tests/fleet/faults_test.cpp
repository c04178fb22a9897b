#include "answers.hpp"
#include "running_fleet.hpp"

#include <Poco/JSON/Parser.h>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

namespace {

Poco::JSON::Object::Ptr budget(const running_fleet& fleet, int host) {
  const auto shown = fleet.operate(host, "GET", "budgets/team");
  REQUIRE_MESSAGE(shown.status == 200, shown.body);
  Poco::JSON::Parser parser;
  return parser.parse(shown.body).extract<Poco::JSON::Object::Ptr>();
}

long field(const Poco::JSON::Object::Ptr& object, const std::string& name) {
  return static_cast<long>(object->getValue<Poco::Int64>(name));
}

} // namespace

// A wearer waits for a long answer; the router that streams it is killed. The caller sees its
// connection break and sends the request again, with its key, to another router. The first run is
// still going on at the engine. The retry must get the whole answer of that one run.
TEST_CASE("a retry after its router was killed gets the whole answer, run once") {
  running_fleet fleet{{.hosts = 3, .engines = 2, .token_ms = 20}};
  REQUIRE(fleet.ask(1, "warm", 2).status == 200);
  running_fleet::answer cut;
  std::thread caller{[&] { cut = fleet.ask(0, "a long draft", 100, true, "draft-1"); }};
  REQUIRE(eventually([&] { return fleet.runs("k") == 1; }));
  fleet.host(0).crash();
  caller.join();
  CHECK(cut.body.find("[DONE]") == std::string::npos);

  const auto retried = fleet.ask(1, "a long draft", 100, true, "draft-1");
  CHECK_MESSAGE(retried.status == 200, retried.body);
  CHECK(retried.body.find("[DONE]") != std::string::npos);
  CHECK(tokens_in(retried.body) == 100);
  CHECK(fleet.runs("k") == 1);
  const auto again = fleet.ask(2, "a long draft", 100, false, "draft-1");
  CHECK(again.status == 200);
  CHECK(tokens_in(again.body) == 100);
  CHECK(fleet.runs("k") == 1);
}

// An order is placed twice because its caller was impatient, at once and through two routers. The
// customer's card must be charged once, and both calls must hear of the same order.
TEST_CASE("an order sent twice through two routers is placed once") {
  running_fleet fleet{{.hosts = 3, .engines = 1}};
  running_fleet::answer first;
  std::thread impatient{[&] { first = fleet.service(0, "POST", "/orders", "order-1"); }};
  const auto second = fleet.service(1, "POST", "/orders", "order-1");
  impatient.join();
  CHECK((first.status == 200 || second.status == 200));
  CHECK(fleet.runs("k") == 1);
  const auto later = fleet.service(2, "POST", "/orders", "order-1");
  CHECK_MESSAGE(later.status == 200, later.body);
  CHECK(fleet.runs("k") == 1);
}

// The holder of a team's tokens is paused for longer than every timeout, and goes on afterwards.
// In the meantime others have taken its tokens over. Whatever it still believes to hold, the sum
// of what all hosts spend must stay within what was bought.
TEST_CASE("a paused holder that wakes up cannot overspend") {
  constexpr long bought = 4000;
  running_fleet fleet{{.hosts = 3, .engines = 2, .token_ms = 0}};
  REQUIRE(fleet.publish(0, bought, "small") == 200);
  long used = 0;
  const auto spend = [&](int host, int times) {
    for (int i = 0; i < times; ++i) {
      const auto got = fleet.ask(host, "x", 50);
      REQUIRE_MESSAGE((got.status == 200 || got.status == 402 || got.status == 503), got.body);
      if (got.status == 200)
        used += 50;
    }
  };
  spend(0, 5);
  fleet.host(0).signal(SIGSTOP);
  sleep_ms(4000);
  spend(1, 20);
  spend(2, 20);
  fleet.host(0).signal(SIGCONT);
  for (int host = 0; host < 3; ++host)
    spend(host, 30);
  CHECK(used <= bought);
  CHECK(used > bought / 4);
  const auto shown = budget(fleet, 1);
  CHECK(field(shown, "pool") + field(shown, "outstanding") + field(shown, "spent") +
            field(shown, "written_off") ==
        field(shown, "bought"));
}

// Two data centres have never been able to reach each other, and now the log is gone as well. Each
// goes on with what was delegated to it. Together they must not spend more than was bought, however
// long this lasts, and when the log is back the account must add up.
TEST_CASE("two data centres cut off from each other and the log spend no more than was bought") {
  constexpr long bought = 6000;
  running_fleet fleet{{.hosts = 4, .engines = 2, .token_ms = 0, .partitioned = true}};
  REQUIRE(fleet.publish(0, bought, "small") == 200);
  REQUIRE(eventually([&] { return field(budget(fleet, 3), "bought") == bought; }));
  std::array<long, 4> used{};
  const auto spend = [&](int times) {
    std::array<bool, 4> refused{};
    for (int i = 0; i < 4 * times; ++i) {
      const auto host = static_cast<std::size_t>(i % 4);
      if (refused[host])
        continue;
      const auto got = fleet.ask(i % 4, "x", 20);
      REQUIRE_MESSAGE((got.status == 200 || got.status == 402 || got.status == 503), got.body);
      refused[host] = got.status != 200;
      used[host] += got.status == 200 ? 20 : 0;
    }
  };
  spend(3);
  fleet.fault_in_log(R"({"outage":true})");
  spend(10);
  CHECK(used[0] + used[1] > 0);
  CHECK(used[2] + used[3] > 0);
  fleet.fault_in_log(R"({"outage":false})");
  spend(100);
  CHECK(used[0] + used[1] + used[2] + used[3] <= bought);
  const auto shown = budget(fleet, 2);
  CHECK(field(shown, "pool") + field(shown, "outstanding") + field(shown, "spent") +
            field(shown, "written_off") ==
        field(shown, "bought"));
}

// The platform's log is down. Requests need it for nothing, and go on. A publish is refused at once
// with the reason, and succeeds once the log is back, under the same record id.
TEST_CASE("a log outage stops publishing and nothing else") {
  running_fleet fleet{{.hosts = 2, .engines = 2, .token_ms = 0}};
  REQUIRE(fleet.ask(0, "x", 5).status == 200);
  fleet.fault_in_log(R"({"outage":true})");
  sleep_ms(2500);
  for (int i = 0; i < 10; ++i)
    CHECK(fleet.ask(0, "during " + std::to_string(i), 5).status == 200);
  CHECK(fleet.get(0, "/readyz").status == 200);
  CHECK(fleet.publish(0, 2'000'000, "later") == 503);
  fleet.fault_in_log(R"({"outage":false})");
  CHECK(eventually([&] { return fleet.publish(0, 2'000'000, "later") == 200; }));
  CHECK(eventually([&] { return field(budget(fleet, 1), "bought") == 2'000'000; }));
}

// The log takes a publish and its answer is lost. The operator, told nothing, repeats it. It must
// have taken effect once, and the repeat must say so.
TEST_CASE("a publish whose answer was lost can be repeated safely") {
  running_fleet fleet{{.hosts = 2, .engines = 1}};
  fleet.fault_in_log(R"({"lose_answers":1.0})");
  CHECK(eventually([&] { return fleet.publish(0, 3'000'000, "once") == 200; }));
  fleet.fault_in_log(R"({"lose_answers":0.0})");
  CHECK(field(budget(fleet, 0), "bought") == 3'000'000);
  CHECK(fleet.publish(1, 3'000'000, "once") == 200);
}

// Guards against an answer to a publish that comes before its budget is in force on the host.
TEST_CASE("a budget is in force on a host that has answered its publish") {
  running_fleet fleet{{.hosts = 2, .engines = 1}};
  for (std::int64_t tokens = 2'000'001; tokens <= 2'000'040; ++tokens) {
    const std::string id = "raise-" + std::to_string(tokens);
    REQUIRE(eventually([&] { return fleet.publish(0, tokens, id) == 200; }));
    CHECK(field(budget(fleet, 0), "bought") == tokens);
  }
}

// One host cannot reach the log, the others can. A contract is published through them. The cut-off
// host must go by it within seconds all the same, since it can still reach its peers.
TEST_CASE("a host cut off from the log is current through its peers") {
  running_fleet fleet{{.hosts = 3, .engines = 1, .token_ms = 0, .without_log = {2}}};
  REQUIRE(fleet.publish(0, 5'000'000, "new") == 200);
  CHECK(eventually([&] { return field(budget(fleet, 2), "bought") == 5'000'000; }));
  CHECK(fleet.ask(2, "x", 5).status == 200);
}

// A host is stopped for an update while it streams. Its streams must end as if nothing had
// happened, new requests go elsewhere, and it exits by itself.
TEST_CASE("a graceful stop finishes its streams and exits with 0") {
  running_fleet fleet{{.hosts = 3, .engines = 1, .token_ms = 20}};
  running_fleet::answer streamed;
  std::thread caller{[&] { streamed = fleet.ask(0, "a report", 100, true); }};
  sleep_ms(500);
  fleet.host(0).signal(SIGTERM);
  sleep_ms(300);
  CHECK(fleet.get(0, "/readyz").status == 503);
  CHECK(fleet.ask(0, "new", 5).body.find("not_run") != std::string::npos);
  // Of a key it cannot know whether an earlier attempt ran elsewhere.
  const auto keyed = fleet.ask(0, "new", 5, false, "seen-elsewhere");
  CHECK(keyed.status == 503);
  CHECK(keyed.body.find("outcome_unknown") != std::string::npos);
  CHECK(fleet.ask(1, "new", 5).status == 200);
  caller.join();
  CHECK(streamed.body.find("[DONE]") != std::string::npos);
  CHECK(tokens_in(streamed.body) == 100);
  CHECK(fleet.host(0).wait(20000) == 0);
}

// Every connection to the engines falls silent in the middle of an answer, while new connections
// work. The caller must get the rest over a new connection, not wait for ever.
TEST_CASE("a stream whose connection fell silent is taken up on a new one") {
  running_fleet fleet{{.hosts = 1, .engines = 1, .token_ms = 20}};
  REQUIRE(fleet.ask(0, "warm", 2).status == 200);
  running_fleet::answer streamed;
  std::thread caller{[&] { streamed = fleet.ask(0, "a report", 60, true); }};
  sleep_ms(500);
  fleet.fault_in_engines(R"({"silent":true})");
  sleep_ms(300);
  fleet.fault_in_engines(R"({"silent":false})");
  caller.join();
  CHECK_MESSAGE(streamed.body.find("[DONE]") != std::string::npos, streamed.body);
  CHECK(tokens_in(streamed.body) == 60);
  CHECK(fleet.runs("r") == 2);
}
