#include "running_fleet.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

namespace {

constexpr const char* draft_model = R"({"name":"drafts"})";
constexpr const char* old_tags = R"({"name":"tags","versions":["1"]})";
constexpr const char* new_tags = R"({"name":"tags","versions":["2"]})";
constexpr int engine_count = 3;

void sleep_ms(int span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

bool eventually(const std::function<bool()>& holds) {
  for (int i = 0; i < 400; ++i) {
    if (holds())
      return true;
    sleep_ms(100);
  }
  return false;
}

bool has(const running_fleet& fleet, int engine, const std::string& model) {
  const auto models = fleet.engine(engine, "/load")->getArray("models");
  for (const auto& one : *models)
    if (one.convert<std::string>() == model)
      return true;
  return false;
}

int holders(const running_fleet& fleet, const std::string& model) {
  int count = 0;
  for (int i = 0; i < engine_count; ++i)
    count += has(fleet, i, model) ? 1 : 0;
  return count;
}

long sum(const running_fleet& fleet, const std::string& figure) {
  long all = 0;
  for (int i = 0; i < engine_count; ++i)
    all += static_cast<long>(fleet.engine(i, "/admin/stats")->getValue<Poco::Int64>(figure));
  return all;
}

std::vector<std::string> facts(const running_fleet& fleet, int host, const std::string& prefix) {
  const auto shown = fleet.operate(host, "GET", "explain/pool/lm");
  std::vector<std::string> values;
  if (shown.status != 200)
    return values;
  Poco::JSON::Parser parser;
  const auto told = parser.parse(shown.body).extract<Poco::JSON::Object::Ptr>();
  for (const auto& one : *told->getArray("facts")) {
    const auto& fact = one.extract<Poco::JSON::Object::Ptr>();
    if (fact->getValue<std::string>("name").rfind(prefix, 0) == 0)
      values.push_back(fact->getValue<std::string>("value"));
  }
  return values;
}

int decider(const running_fleet& fleet, int asked) {
  int number = -1;
  REQUIRE(eventually([&] {
    const auto told = facts(fleet, asked, "decider");
    if (told.empty() || told.front().size() != 2)
      return false;
    number = told.front()[1] - '0';
    return true;
  }));
  return number;
}

long epoch(const running_fleet& fleet, int host) {
  const auto told = facts(fleet, host, "fencing");
  return told.empty() ? 0 : std::stol(told.front());
}

} // namespace

// An operator publishes a second model and expects engines to have it within seconds; later one of
// those engines is taken away. Nobody gives an order by hand: the model must be loaded, and loaded
// elsewhere once an engine is gone, and the operator must be told what was ordered and why.
TEST_CASE("a published model is loaded, and loaded elsewhere after its engine was lost") {
  running_fleet fleet{{.hosts = 2, .engines = engine_count}};
  REQUIRE(fleet.publish_models(0, {chat_model, draft_model}, true, "f2") == 200);
  REQUIRE(eventually([&] { return holders(fleet, "drafts") == 2; }));
  const int deciding = decider(fleet, 0);
  const auto orders = facts(fleet, deciding, "order ");
  REQUIRE(orders.size() == 2);
  CHECK(orders.front().rfind("load drafts at e", 0) == 0);

  fleet.fault_in_engine(has(fleet, 0, "drafts") ? 0 : 1, R"({"leaving":true})");
  CHECK(eventually([&] { return holders(fleet, "drafts") == 3; }));
}

// Settings list another version of a model. The engines that have the old one must get the new one
// first and give up the old one only then, so that requests for the model find an engine
// throughout.
TEST_CASE("a new version is loaded before the old one goes") {
  running_fleet fleet{{.hosts = 1, .engines = engine_count}};
  REQUIRE(fleet.publish_models(0, {chat_model, old_tags}, true, "f2") == 200);
  REQUIRE(eventually([&] { return holders(fleet, "tags@1") == 2; }));
  REQUIRE(fleet.publish_models(0, {chat_model, new_tags}, true, "f3") == 200);
  bool served = true;
  CHECK(eventually([&] {
    const int old = holders(fleet, "tags@1");
    served = served && old + holders(fleet, "tags@2") >= 2;
    return old == 0;
  }));
  CHECK(served);
  CHECK(holders(fleet, "tags@2") >= 2);
}

// The host that gives a pool's orders is killed. A model that is published afterwards must be
// loaded all the same: another host has to take the pool on, under a higher number.
TEST_CASE("after the deciding host was killed another gives the orders under a higher number") {
  running_fleet fleet{{.hosts = 3, .engines = engine_count}};
  const int first = decider(fleet, 0);
  const int other = (first + 1) % 3;
  const long before = epoch(fleet, other);
  REQUIRE(before > 0);
  fleet.host(first).crash();
  REQUIRE(eventually([&] {
    return fleet.publish_models(other, {chat_model, draft_model}, true, "f2") == 200;
  }));
  CHECK(eventually([&] { return holders(fleet, "drafts") == 2; }));
  CHECK(epoch(fleet, other) > before);
  CHECK(decider(fleet, other) != first);
}

// The deciding host is paused between the plan of an order and its sending, here while it asks the
// weight store. Another host takes over and loads the model. Then the first one wakes up and sends
// its old order before it can know. Engines that honour fencing must refuse it.
TEST_CASE("an order of a decider that was paused is refused") {
  running_fleet fleet{{.hosts = 3, .engines = engine_count}};
  const int first = decider(fleet, 0);
  const int other = (first + 1) % 3;
  fleet.fault_in_weights(R"({"delay_ms":1500})");
  REQUIRE(fleet.publish_models(other, {chat_model, draft_model}, true, "f2") == 200);
  sleep_ms(1300);
  fleet.host(first).signal(SIGSTOP);
  fleet.fault_in_weights(R"({"delay_ms":0})");
  REQUIRE(holders(fleet, "drafts") == 0);
  REQUIRE(eventually([&] { return holders(fleet, "drafts") == 2; }));
  CHECK(sum(fleet, "orders_refused") == 0);
  const long done = sum(fleet, "orders_done");
  fleet.host(first).signal(SIGCONT);
  CHECK(eventually([&] { return sum(fleet, "orders_refused") > 0; }));
  CHECK(sum(fleet, "orders_done") == done);
  CHECK(holders(fleet, "drafts") == 2);
}

// These engines take any order, however old its number. A model is no longer listed. An unload that
// a paused host sends an hour later could hit a model that is listed again by then, so none may be
// sent at all, by whichever host decides; the operator must read that it is withheld, and why.
TEST_CASE("engines that ignore fencing are never told to unload") {
  running_fleet fleet{{.hosts = 3, .engines = engine_count}};
  fleet.fault_in_engines(R"({"fencing":"ignore"})");
  REQUIRE(fleet.publish_models(0, {chat_model, draft_model}, false, "f2") == 200);
  REQUIRE(eventually([&] { return holders(fleet, "drafts") == 2; }));
  const long orders = sum(fleet, "orders_done");
  REQUIRE(fleet.publish_models(0, {chat_model}, false, "f3") == 200);
  const auto withheld = [&](int host) {
    for (const std::string& reason : facts(fleet, host, "withheld"))
      if (reason.rfind("unload of drafts", 0) == 0)
        return true;
    return false;
  };
  const int first = decider(fleet, 0);
  REQUIRE(eventually([&] { return withheld(first); }));
  fleet.host(first).signal(SIGSTOP);
  const int other = (first + 1) % 3;
  int second = first;
  REQUIRE(eventually([&] {
    second = decider(fleet, other);
    return second != first;
  }));
  CHECK(eventually([&] { return withheld(second); }));
  fleet.host(first).signal(SIGCONT);
  sleep_ms(3000);
  CHECK(sum(fleet, "orders_done") == orders);
  CHECK(holders(fleet, "drafts") == 2);
}
