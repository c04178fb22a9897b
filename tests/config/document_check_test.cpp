#include "config/config.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;

namespace {

constexpr const char* good_host = R"({
  "schema": 1, "name": "hf-a-1", "data_centre": "hf-a",
  "listen": {"callers": "127.0.0.1:18101", "peers": "127.0.0.1:18201", "admin": "127.0.0.1:18301"},
  "platform": {"log": "127.0.0.1:18001", "host_list": "127.0.0.1:18002",
               "weights": "127.0.0.1:18003"},
  "seeds": ["127.0.0.1:18201", "127.0.0.1:18202"]})";

constexpr const char* good_contract = R"({
  "schema": 1, "team": "orders",
  "top_ups": [{"id": "2024-01", "tokens": 1000}, {"id": "2024-02", "tokens": 500}],
  "keys": [], "classes": [{"name": "chat", "priority": 1}], "default_class": "chat",
  "pools": ["lm"], "services": ["orders"], "prefer": "no_false_refusal"})";

[[nodiscard]] std::string replaced(std::string text, const std::string& from,
                                   const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

[[nodiscard]] const problem* find_problem(const std::vector<problem>& all,
                                          const std::string& pointer) {
  const auto found = std::find_if(
      all.begin(), all.end(), [&pointer](const problem& one) { return one.pointer == pointer; });
  return found == all.end() ? nullptr : &*found;
}

} // namespace

TEST_CASE("good host settings are read, with defaults for what they leave out") {
  const auto result = check_host_settings("hf-a-1.json", good_host);
  REQUIRE_MESSAGE(result, to_text(result.problems));
  CHECK(result.value->name == host_id{"hf-a-1"});
  CHECK(result.value->listen.peers == address{"127.0.0.1", 18201});
  CHECK(result.value->platform.stream == "fleet");
  CHECK(result.value->workers.callers == 64);
  CHECK(result.value->seeds.size() == 2);
}

TEST_CASE("a document written back reads as the same document") {
  const auto first = check_contract("c.json", good_contract);
  REQUIRE_MESSAGE(first, to_text(first.problems));
  CHECK(bought_tokens(*first.value) == 1500);
  const auto second =
      check_contract("c.json", to_pretty_text(contract_table().write(*first.value)));
  REQUIRE_MESSAGE(second, to_text(second.problems));
  CHECK(*first.value == *second.value);
}

// An operator mends one fault, starts the host, meets the next, and so on while the host is down:
// a check that stops at the first fault costs a restart for each.
TEST_CASE("all faults of a document are reported in one run, each with its place") {
  std::string text = replaced(good_host, R"("name": "hf-a-1")", R"("name": "hf a 1")");
  text = replaced(text, R"("seeds")", R"("worker": {}, "workers": {"callers": 0, "peers": "4"},
                        "log": {"level": "warn"}, "log": {}, "seeds")");
  text = replaced(text, "127.0.0.1:18003", "weights.example:18003");
  const auto result = check_host_settings("h.json", text);
  CHECK_FALSE(result);
  const auto& all = result.problems;
  CHECK(all.size() == 7);
  REQUIRE(find_problem(all, "/worker") != nullptr);
  CHECK(find_problem(all, "/worker")->nearest == "workers");
  CHECK(find_problem(all, "/worker")->file == "h.json");
  REQUIRE(find_problem(all, "/workers/callers") != nullptr);
  CHECK(find_problem(all, "/workers/callers")->reason == "0 is out of range, must be 1 to 8192");
  CHECK(find_problem(all, "/workers/peers") != nullptr);
  REQUIRE(find_problem(all, "/log") != nullptr);
  CHECK(find_problem(all, "/log")->reason == "duplicate key");
  REQUIRE(find_problem(all, "/log/level") != nullptr);
  CHECK(find_problem(all, "/log/level")->nearest == "warning");
  CHECK(find_problem(all, "/platform/weights") != nullptr);
  CHECK(find_problem(all, "/name") != nullptr);
}

TEST_CASE("addresses that contradict each other are a fault") {
  const auto twice = check_host_settings("h.json", replaced(good_host, ":18301", ":18101"));
  REQUIRE(twice.problems.size() == 1);
  CHECK(twice.problems[0].pointer == "/listen/admin");
  const auto seed = check_host_settings(
      "h.json", replaced(good_host, R"("127.0.0.1:18202")", R"("127.0.0.1:18001")"));
  REQUIRE(seed.problems.size() == 1);
  CHECK(seed.problems[0].pointer == "/seeds/1");
}

TEST_CASE("a repeated top-up, key or class is a fault") {
  const auto result = check_contract("c.json", replaced(good_contract, "2024-02", "2024-01"));
  REQUIRE(result.problems.size() == 1);
  CHECK(result.problems[0].pointer == "/top_ups/1");
}

TEST_CASE("a document of another schema is judged by its schema alone") {
  const auto newer =
      check_contract("c.json", replaced(good_contract, R"("schema": 1)", R"("schema": 9, "x": 1)"));
  REQUIRE(newer.problems.size() == 1);
  CHECK(newer.problems[0].reason.find("newer than 1") != std::string::npos);
  const auto older =
      check_contract("c.json", replaced(good_contract, R"("schema": 1)", R"("schema": 0, "x": 1)"));
  REQUIRE(older.problems.size() == 1);
  CHECK(older.problems[0].reason.find("older than 1") != std::string::npos);
}

TEST_CASE("text that is no bounded, strict JSON is refused whole") {
  const std::string deep(200, '[');
  const std::vector<std::string> bad{"",
                                     " ",
                                     "{",
                                     "{} x",
                                     R"({"schema": NaN})",
                                     R"({"schema": 01})",
                                     "\xff{}",
                                     "{\"a\":\"\xc3\x28\"}",
                                     R"({"schema": 1,})",
                                     "{'schema': 1}",
                                     deep,
                                     std::string(max_document_bytes + 1, ' '),
                                     "[]",
                                     "null",
                                     "7",
                                     R"({"schema": 1e999})",
                                     R"({"schema": 99999999999999999999})"};
  for (const auto& text : bad) {
    CAPTURE(text.substr(0, 40));
    const auto result = check_contract("c.json", text);
    CHECK_FALSE(result);
    CHECK_FALSE(result.problems.empty());
  }
}

TEST_CASE("fleet settings name each pool and model once") {
  const std::string text = R"({"schema": 1, "data_centres": [{"name": "a", "region": "r"}],
    "pools": [{"name": "lm", "kind": "engine", "models": [{"name": "m"}]},
              {"name": "lm2", "kind": "engine", "models": [{"name": "m"}]},
              {"name": "orders", "kind": "service", "non_idempotent_methods": ["POST"]}]})";
  const auto twice = check_fleet_settings("f.json", text);
  REQUIRE(twice.problems.size() == 1);
  CHECK(twice.problems[0].pointer == "/pools/1/models/0/name");
  const auto good = check_fleet_settings("f.json", replaced(text, R"([{"name": "m"}]},
              {"name": "orders")",
                                                            R"([{"name": "n"}]},
              {"name": "orders")"));
  REQUIRE_MESSAGE(good, to_text(good.problems));
  CHECK(find_pool_of(*good.value, model_id{"n"})->name == pool_id{"lm2"});
}
