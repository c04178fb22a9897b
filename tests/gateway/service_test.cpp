#include "test_gateway.hpp"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <memory>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

std::string service_request(const std::string& body, const std::string& headers = "") {
  return "POST /services/s/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good-key\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a service gets the whole body, however long, and never the team's key") {
  fake_engine service{[](engine_call& call) {
    CHECK(call.body_whole);
    CHECK(call.header("Authorization").empty());
    call.answer(std::to_string(call.body.size()));
  }};
  test_gateway host;
  host.dispatch.add("s1", service.address());
  for (const std::size_t size : {0U, 1U, 65535U, 65536U, 65537U, 3000000U}) {
    const raw_answer answer = host.ask(service_request(std::string(size, 'b')));
    CHECK(answer.body == std::to_string(size));
  }
  CHECK(host.nothing_left());
  CHECK(host.budgets.bills() == std::vector<std::uint64_t>(6, 7));
}

// A caller leaves in the middle of a long upload. Its part shall not look like a whole body to the
// service, nor like a fault of the service to us.
TEST_CASE("an upload that breaks off is no whole body and no fault of the endpoint") {
  std::atomic<int> whole{0};
  fake_engine service{[&](engine_call& call) {
    whole += call.body_whole && call.body.size() == 200000 ? 1 : 0;
    call.answer("done");
  }};
  test_gateway host;
  host.dispatch.add("s1", service.address());
  for (const std::size_t sent : {1000U, 100000U}) {
    raw_caller caller = host.caller();
    const std::string request = service_request(std::string(200000, 'b'));
    CHECK(caller.send(request.substr(0, sent)));
    caller.leave();
    CHECK(host.nothing_left());
  }
  CHECK(eventually([&] { return host.dispatch.outcomes().size() == 1; }));
  CHECK(host.dispatch.outcomes() == std::vector{turn_outcome::caller_left});
  CHECK(host.budgets.bills() == std::vector<std::uint64_t>{0});
  CHECK(whole == 0);
}

TEST_CASE("a service's answer that is cut does not look whole") {
  fake_engine service{[](engine_call& call) {
    (void)call.raw(std::string(1000, 'x'));
    call.cut();
  }};
  test_limits limits;
  test_gateway host{limits};
  host.dispatch.add("s1", service.address());
  raw_caller caller = host.caller();
  CHECK(caller.send(service_request("b", "Idempotency-Key: k\r\n")));
  const std::string all = caller.receive_until("0\r\n\r\n");
  CHECK_FALSE(all.ends_with("0\r\n\r\n"));
  CHECK(host.nothing_left());
  CHECK(host.claims.state_of("k") == "unknown");
}

TEST_CASE("a service's failed call goes to another endpoint only if it may run twice") {
  for (const bool idempotent : {false, true}) {
    fake_engine one{[](engine_call& call) { call.cut(); }};
    fake_engine two{[](engine_call& call) { call.answer("two"); }};
    test_gateway host;
    host.dispatch.add("s1", one.address());
    host.dispatch.add("s2", two.address());
    const std::string headers =
        std::string{"X-Sedgechute-Idempotent: "} + (idempotent ? "true" : "false") + "\r\n";
    const raw_answer answer = host.ask(service_request("b", headers));
    CHECK(answer.status == (idempotent ? 200 : 504));
    CHECK(two.runs() == (idempotent ? 1 : 0));
    CHECK(one.runs() == 1);
    CHECK(host.nothing_left());
  }
}

// Every endpoint of a service fails. After the last attempt a request took one more retry from its
// pool's budget, and waited for it, only to be refused.
TEST_CASE("a service's call takes no retry that it will not make") {
  std::array<std::unique_ptr<fake_engine>, 4> services;
  test_gateway host;
  for (std::size_t i = 0; i < services.size(); ++i) {
    services.at(i) = std::make_unique<fake_engine>([](engine_call& call) { call.cut(); });
    host.dispatch.add("s" + std::to_string(i), services.at(i)->address());
  }
  const raw_answer answer = host.ask(service_request("b", "X-Sedgechute-Idempotent: true\r\n"));
  CHECK(answer.kind() == "endpoint_failed");
  CHECK(host.dispatch.outcomes().size() == 3);
  CHECK(host.dispatch.retries_taken() == 2);
}

// A caller uses one key for two orders. Told the first one's answer, it would take the second for
// done.
TEST_CASE("a key with another body is refused; with the same body it gets the kept answer") {
  fake_engine service{[](engine_call& call) { call.answer("got " + call.body); }};
  test_gateway host;
  host.dispatch.add("s1", service.address());
  const std::string key = "Idempotency-Key: k\r\n";
  CHECK(host.ask(service_request("first", key)).body == "got first");
  CHECK(host.ask(service_request("first", key)).body == "got first");
  const raw_answer other = host.ask(service_request("second", key));
  CHECK(other.status == 409);
  CHECK(other.kind() == "key_reused");
  CHECK(service.runs() == 1);
  CHECK(host.nothing_left());
}
