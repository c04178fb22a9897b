// A host as a process, while another program writes entries that no program of the fleet writes.

#include "entry_program.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

constexpr std::size_t deep = 200'000;

std::string repeated(std::string_view unit, std::size_t count) {
  std::string text;
  text.reserve(unit.size() * count);
  for (std::size_t i = 0; i < count; ++i)
    text += unit;
  return text;
}

std::string nested_arrays() {
  return repeated("[", deep) + repeated("]", deep);
}

std::string nested_objects() {
  return repeated(R"({"a":)", deep) + "1" + repeated("}", deep);
}

std::vector<std::string> odd_numbers() {
  return {repeated("9", 400),
          "1e999",
          "-1e999",
          "18446744073709551616",
          "9223372036854775807",
          "-1",
          "-9223372036854775809",
          "0.5",
          "1e-400",
          "NaN",
          "null",
          "true",
          R"("7")"};
}

std::vector<std::string> odd_documents() {
  std::vector<std::string> all{repeated("[", deep),
                               nested_arrays(),
                               nested_objects(),
                               "",
                               "{}",
                               "[]",
                               "null",
                               "\xff\xfe",
                               std::string(3, '\0'),
                               R"({"a":"\ud800"})",
                               repeated("x", 300'000)};
  for (const std::string& number : odd_numbers())
    all.push_back(number);
  return all;
}

/// \returns entries of endpoints with one odd field each
std::vector<std::string> odd_endpoints() {
  const auto entry = [](const std::string& address, const std::string& more) {
    return R"({"Service":"s","Address":)" + address +
           R"(,"Zone":"dc","Version":"v1","Slots":16,"State":"ready",)" + more +
           R"("ColdRemainingMs":0})";
  };
  std::vector<std::string> all = odd_documents();
  for (const char* const port : {"70000", "0", "-1", "", "99999999999999999999", "8x", "+80"})
    all.push_back(entry(std::string{R"("127.0.0.1:)"} + port + "\"", R"("Sequence":1,)"));
  for (const char* const address : {R"("host:80")", R"("[::1]:99999")", R"("")", R"(":80")", "80",
                                    "null", R"(["127.0.0.1:80"])"})
    all.push_back(entry(address, R"("Sequence":1,)"));
  for (const std::string& value : odd_numbers())
    for (const char* const name : {"Sequence", "born", "Slots", "ColdRemainingMs", "Models"})
      all.push_back(entry(R"("127.0.0.1:9")", "\"" + std::string{name} + "\":" + value + ","));
  for (const std::string& value : {nested_arrays(), nested_objects()})
    for (const char* const name : {"Models", "Version", "new"})
      all.push_back(entry(R"("127.0.0.1:9")", "\"" + std::string{name} + "\":" + value + ","));
  return all;
}

std::vector<std::string> odd_configurations() {
  std::vector<std::string> all = odd_documents();
  for (const std::string& value : odd_numbers()) {
    all.push_back(R"({"Version":)" + value + R"(,"Routes":{},"Services":[]})");
    all.push_back(R"({"Version":99,"Routes":[],"Services":[],"Limits":{"MaxBodyBytes":)" + value +
                  R"(},"Tenants":{}})");
  }
  all.push_back(R"({"Version":99,"Routes":)" + nested_arrays() + R"(,"Services":[]})");
  return all;
}

/// \brief Writes entries under keys of their own, and as many under one key.
void write_all(entry_program& host, const std::string& topic, const std::string& key,
               const std::vector<std::string>& values) {
  for (std::size_t i = 0; i < values.size(); ++i)
    host.store().put(topic, key + std::to_string(i), values[i]);
  for (const std::string& value : values)
    host.store().put(topic, key, value);
}

bool is_served(const entry_program& host, const std::string& route) {
  const steady_clock time;
  int asked = 0;
  for (const time_ms until = time.now() + time_ms{5000}; time.now() < until;) {
    if (host.ask(route, "odd-" + std::to_string(++asked)).first == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
  }
  return false;
}

/// \brief The host runs on, follows what comes after the odd entries, and starts among them.
void check_unharmed(entry_program& host, scripted_endpoint& later) {
  CHECK(host.runs());
  host.add_endpoint("later", later.address());
  host.store().put("keyed.op", "config", entry_program::with_route(100, "added"));
  CHECK(is_served(host, "added"));
  CHECK(later.seen().size() == 1);
  host.restart();
  CHECK(host.ready());
  CHECK(is_served(host, "added"));
}

} // namespace

// One entry that cannot be read must neither end a host nor keep it from reading on.
TEST_CASE("a host reads on behind odd entries of endpoints, and starts among them") {
  scripted_endpoint later{answers("ok")};
  entry_program host{R"("grace_s":4)"};
  REQUIRE(host.ready());
  write_all(host, "keyed.servers", "odd", odd_endpoints());
  host.store().put("keyed.servers", repeated("k", 255), "odd");
  host.store().put("keyed.servers", "\xff\xfe", "odd");
  check_unharmed(host, later);
}

TEST_CASE("a host reads on behind odd records of the operator, and starts among them") {
  scripted_endpoint later{answers("ok")};
  entry_program host{R"("grace_s":4)"};
  REQUIRE(host.ready());
  write_all(host, "keyed.op", "odd", odd_documents());
  write_all(host, "keyed.op", "evacuate/other", odd_documents());
  host.store().put("keyed.op", "evacuate/", "odd");
  host.store().put("keyed.op", "evacuate/\xff", "odd");
  for (const std::string& value : odd_configurations())
    host.store().put("keyed.op", "config", value);
  check_unharmed(host, later);
}

TEST_CASE("a host reads on behind odd entries of hosts and contents, and starts among them") {
  scripted_endpoint later{answers("ok")};
  entry_program host{R"("grace_s":4)"};
  REQUIRE(host.ready());
  std::vector<std::string> hosts = odd_documents();
  for (const char* const entry : {"127.0.0.1:70000 dc", "127.0.0.1:-1 dc", "[::1]:99999 dc",
                                  "127.0.0.1:9", " dc", "127.0.0.1:9 \n"})
    hosts.emplace_back(entry);
  write_all(host, "keyed.hosts", "odd", hosts);
  write_all(host, "keyed.quarantine", "odd", odd_documents());
  write_all(host, "keyed.accounts", "t\nodd", odd_documents());
  check_unharmed(host, later);
}
