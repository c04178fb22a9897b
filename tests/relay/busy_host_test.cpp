#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

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

TEST_CASE("a request beyond the link's capacity is refused and not sent") {
  scripted_endpoint endpoint{answers("x")};
  relay_options options;
  options.link_mbps = 0.01;
  relay_fixture at{1000000, options};
  at.add_endpoint("e1", endpoint.address());
  raw_caller first{at.address()};
  raw_caller second{at.address()};
  first.send(request_text("/unsafe/", "id-1", "", "POST", std::string(2000, 'x')));
  for (int i = 0; i < 300 && endpoint.seen().empty(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  second.send(request_text("/unsafe/", "id-2", "", "POST", std::string(2000, 'x')));
  const std::string refused = second.read_all();
  CHECK(status_of(refused) == 503);
  CHECK(refused.find("Retry-After") != std::string::npos);
  CHECK(status_of(first.read_all()) == 200);
  CHECK(endpoint.seen().size() == 1);
}

// Guards against callers that stay with a busy host on the connections that they have.
TEST_CASE("each answer of a busy host ends its connection") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  CHECK(at.call("/unsafe/", "id-1", "", "POST").find("Connection: close") == std::string::npos);
  at.set_out_of_rotation(true);
  const std::string last = at.call("/unsafe/", "id-2", "", "POST");
  CHECK(status_of(last) == 200);
  CHECK(last.find("Connection: close") != std::string::npos);
  at.set_out_of_rotation(false);
  CHECK(at.call("/unsafe/", "id-3", "", "POST").find("Connection: close") == std::string::npos);
}

// Guards against a congested link that fills with the bodies of requests that are to be refused.
TEST_CASE("a busy host refuses a request before its body has arrived") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  at.set_busy(true);
  const std::string whole = request_text("/unsafe/", "id-1", "", "POST", std::string(5000, 'x'));
  raw_caller caller{at.address()};
  caller.send(std::string_view{whole}.substr(0, whole.size() - 4000));
  const std::string refused = caller.read_all();
  CHECK(status_of(refused) == 503);
  CHECK(refused.find("Attempt-Id: id-1") != std::string::npos);
  CHECK(refused.find("Connection: close") != std::string::npos);
  CHECK(endpoint.seen().empty());
}
