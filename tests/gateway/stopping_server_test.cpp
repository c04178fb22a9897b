#include "test_gateway.hpp"

#include <doctest/doctest.h>

#include <atomic>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

test_limits patient_limits() {
  test_limits limits;
  limits.server.header_timeout = time_ms{10000};
  return limits;
}

struct stopping_host {
  stopping_host() { host.dispatch.add("e1", engine.address()); }

  /// \returns a caller whose connection is kept after a first answer
  [[nodiscard]] raw_caller kept_caller() const {
    raw_caller caller = host.caller();
    (void)caller.send("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(caller.receive().status == 200);
    return caller;
  }

  fake_engine engine{answer_words({"x"})};
  test_gateway host{patient_limits()}; // a stop lies between the parts of a header
};

} // namespace

// A host has handed its tokens and keys over and stops its server. A caller whose connection waited
// for its next request meanwhile sends one: the server had looked whether it stops only before that
// wait, and gave the request to a host of which half was gone.
TEST_CASE("a request on a kept connection of a stopped server is not run") {
  stopping_host stopping;
  raw_caller idle = stopping.kept_caller();
  stopping.host.stop_taking();
  (void)idle.send(chat_request_text(chat_body(false)));
  CHECK(idle.receive().status == 0);
  CHECK(stopping.engine.runs() == 0);
}

// The same request, but half of its header has come before the stop. It gets a whole refusal, which
// says that it did not run.
TEST_CASE("a request whose header comes whole only after the stop is refused unrun") {
  stopping_host stopping;
  raw_caller late = stopping.kept_caller();
  const std::string request = chat_request_text(chat_body(false));
  REQUIRE(late.send(request.substr(0, 10)));
  stopping.host.stop_taking();
  REQUIRE(late.send(request.substr(10)));
  const raw_answer answer = late.receive();
  CHECK(answer.status == 503);
  CHECK(answer.kind() == "stopping");
  CHECK(answer.field("Connection") == "Close");
  CHECK(answer.body.find(R"("outcome":"not_run")") != std::string::npos);
  CHECK(late.closed_by_host());
  CHECK(stopping.engine.runs() == 0);
}

TEST_CASE("a request that runs at the stop is answered whole, as the last of its connection") {
  std::atomic<bool> stopped{false};
  fake_engine engine{[&](engine_call& call) {
    (void)eventually([&] { return stopped.load(); });
    answer_words({"x"})(call);
  }};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  raw_caller caller = host.caller();
  REQUIRE(caller.send(chat_request_text(chat_body(false))));
  REQUIRE(eventually([&] { return engine.runs() == 1; }));
  host.stop_taking();
  stopped = true;
  CHECK(caller.receive().status == 200);
  CHECK(caller.closed_by_host());
}

// Something scrapes a host's metrics and keeps its connection. The process lived on until that
// connection had been idle for as long as it may, seconds beyond the end of everything else.
TEST_CASE("a stopped server does not wait for idle connections") {
  stopping_host stopping;
  raw_caller idle = stopping.kept_caller();
  const steady_clock time;
  const time_ms began = time.now();
  stopping.host.stop_taking();
  CHECK(idle.closed_by_host());
  CHECK(time.now() - began < time_ms{2000});
}
