// Requests that a host decides on before their bodies have arrived.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace sedgechute;

namespace {

constexpr std::string_view interim = "100 Continue";

relay_options bounded(std::size_t bodies) {
  relay_options options;
  options.memory = {.bodies = bodies, .answers = 40000, .reserve = 0};
  return options;
}

config_ptr large_bodies() {
  auto config = std::make_shared<fleet_config>(*fixture_config({}));
  config->limits.body_bytes = 1U << 20U;
  return config;
}

std::string head_of(const std::string& request, std::size_t body_bytes) {
  return request.substr(0, request.size() - body_bytes);
}

void check_refused(const std::string& answer) {
  CHECK(status_of(answer) == 503);
  CHECK(answer.find("Retry-After") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(answer.find(interim) == std::string::npos);
}

} // namespace

// Without the interim response its caller would wait for good.
TEST_CASE("a caller that expects an interim response gets it before its body is read") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture host;
  host.add_endpoint("e1", endpoint.address());
  raw_caller caller{host.address()};
  caller.send(
      head_of(request_text("/unsafe/", "a", "Expect: 100-continue\r\n", "POST", "body"), 4));
  CHECK(caller.read_all().find(interim) != std::string::npos);
  caller.send("body");
  CHECK(status_of(caller.read_all()) == 200);
  REQUIRE(endpoint.seen().size() == 1);
  CHECK(endpoint.seen().front().body == "body");
}

// The interim response would invite a body that is refused afterwards.
TEST_CASE("a caller that expects an interim response is refused where there is no memory") {
  constexpr std::size_t body_bytes = 30000;
  relay_fixture host{1'000'000, bounded(body_bytes / 2), large_bodies()};
  raw_caller caller{host.address()};
  caller.send(head_of(request_text("/unsafe/", "a", "Expect: 100-continue\r\n", "POST",
                                   std::string(body_bytes, 'b')),
                      body_bytes));
  check_refused(caller.read_all());
}

// A host under load would read bodies only to refuse them.
TEST_CASE("a host under load refuses large and chunked bodies by their header") {
  constexpr std::size_t body_bytes = 200'000;
  scripted_endpoint endpoint{answers("x")};
  relay_fixture host{1'000'000, bounded(8U << 20U), large_bodies()};
  host.add_endpoint("e1", endpoint.address());
  host.set_busy(true);
  raw_caller stated{host.address()};
  stated.send(
      head_of(request_text("/unsafe/", "a", "", "POST", std::string(body_bytes, 'b')), body_bytes));
  check_refused(stated.read_all());
  raw_caller chunked{host.address()};
  chunked.send(request_text("/unsafe/", "b", "Transfer-Encoding: chunked\r\n", "POST"));
  check_refused(chunked.read_all());
  CHECK(host.relay().memory().held(held_message::body) == 0);
  CHECK(endpoint.seen().empty());
}
