#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace sedgechute;

// One caller overloads the processor of a small host. A refused request is not sent to any
// endpoint. The refusal has a short Retry-After and closes the connection, so that the balancer
// sends the next one to another host.
TEST_CASE("a busy host refuses at once and closes the connection") {
  scripted_endpoint endpoint{[](const scripted_endpoint::seen_request& request) {
    return scripted_reply{whole_answer(*request.head.fields.find("Attempt-Id"), "x"),
                          scripted_reply::then::keep, ""};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  at.set_busy(true);
  const std::string refused = at.call("/unsafe/", "id-1", "", "POST");
  CHECK(status_of(refused) == 503);
  CHECK(refused.find("Attempt-Id: id-1") != std::string::npos);
  CHECK(refused.find("Retry-After: 0.05") != std::string::npos);
  CHECK(refused.find("Connection: close") != std::string::npos);
  CHECK(endpoint.seen().empty());
  at.set_busy(false);
  CHECK(status_of(at.call("/unsafe/", "id-2", "", "POST")) == 200);
}

// A retry of an unknown path is useless, so a busy host must not answer it with 503 and
// Retry-After.
TEST_CASE("a busy host still answers 404 for unknown paths") {
  relay_fixture at;
  at.set_busy(true);
  CHECK(status_of(at.call("/nowhere/", "id-1")) == 404);
}

namespace {

// The fixture's configuration, with other priorities of two routes.
config_ptr priorities(int safe, int unsafe) {
  auto config = std::make_shared<fleet_config>(*fixture_config({}));
  route made = *config->find_route("f.example", "/safe/");
  made.prefix = "/low/";
  made.name = "low";
  made.priority = safe;
  config->add_route(made);
  made.prefix = "/high/";
  made.name = "high";
  made.priority = unsafe;
  config->add_route(made);
  return config;
}

scripted_endpoint answering() {
  return scripted_endpoint{[](const scripted_endpoint::seen_request& request) {
    return scripted_reply{whole_answer(*request.head.fields.find("Attempt-Id"), "x"),
                          scripted_reply::then::keep, ""};
  }};
}

// Reads each answer without waiting for more bytes: the decisions depend on the rate of requests.
std::map<std::string, int> count_served(relay_fixture& at, int calls) {
  std::map<std::string, int> served;
  for (int i = 0; i < calls; ++i)
    for (const std::string path : {"/high/", "/low/"}) {
      raw_caller caller{at.address()};
      caller.send(request_text(path, path + std::to_string(i)));
      served[path] += status_of(caller.read_all(time_ms{3}, time_ms{3000})) == 200 ? 1 : 0;
    }
  return served;
}

} // namespace

// Guards against an overloaded host that refuses requests at random, whatever their priority.
TEST_CASE("a busy host refuses requests of the lower priority first and not all of them") {
  auto endpoint = answering();
  relay_fixture at{1000000, {}, priorities(2, 0)};
  at.add_endpoint("e1", endpoint.address());
  (void)count_served(at, 20); // an overload begins while requests are being served
  at.set_busy(true);          // the draw would refuse all
  at.set_refused_fraction(0.4);
  const auto served = count_served(at, 60);
  CHECK(served.at("/high/") == 60);
  CHECK(served.at("/low/") >= 6);
  CHECK(served.at("/low/") <= 24);
  CHECK(at.figures().text().find("sedgechute_load_refusals_total{") != std::string::npos);
  at.set_refused_fraction(0);
  CHECK(status_of(at.call("/low/", "id-1")) == 200);
}

TEST_CASE("a busy host refuses by the draw where all priorities are the same") {
  auto endpoint = answering();
  relay_fixture at{1000000, {}, priorities(0, 0)};
  at.add_endpoint("e1", endpoint.address());
  at.set_refused_fraction(0.9);
  CHECK(count_served(at, 10).at("/low/") == 10);
  at.set_busy(true);
  CHECK(count_served(at, 10).at("/low/") == 0);
}

// Guards against requests that return after a refusal and are refused like new ones: the host
// recognises them by their caller's remaining time.
TEST_CASE("a busy host serves returning requests before new ones of their team") {
  auto endpoint = answering();
  relay_fixture at{1000000, {}, priorities(2, 0)};
  at.add_endpoint("e1", endpoint.address());
  (void)count_served(at, 20);
  at.set_busy(true);
  at.set_refused_fraction(0.4);
  std::map<bool, int> served;
  for (int i = 0; i < 60; ++i) {
    const bool returning = i % 6 == 5;
    const time_ms patience{returning ? 1200 : 1500};
    for (const std::string path : {"/high/", "/low/"}) {
      raw_caller caller{at.address()};
      caller.send(request_text(path, path + std::to_string(i), "", "GET", "", patience));
      if (path == "/low/" && status_of(caller.read_all(time_ms{3}, time_ms{3000})) == 200)
        ++served[returning];
    }
  }
  CHECK(served[true] == 10);
  CHECK(served[false] >= 1);
  CHECK(served[false] <= 24);
  // Ten on each route.
  CHECK(at.figures().text().find(R"(result="accepted"} 20)") != std::string::npos);
}
