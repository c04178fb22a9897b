#include "test_gateway.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

const std::string chat_head =
    "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good-key\r\n";
const std::string service_head =
    "POST /services/s/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer good-key\r\n";

/// Sends `part` again and again, each time well within any single read's timeout.
raw_answer drip(raw_caller& caller, const std::string& part) {
  std::atomic<bool> answered{false};
  std::thread sending{[&] {
    while (!answered && caller.send(part))
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }};
  raw_answer answer = caller.receive();
  answered = true;
  sending.join();
  return answer;
}

struct slow_host {
  slow_host() { host.dispatch.add("e1", engine.address()); }

  void check_given_up(const std::string& start, const std::string& part) const {
    raw_caller caller = host.caller();
    CHECK(caller.send(start));
    const raw_answer answer = drip(caller, part);
    CHECK(answer.status == 408);
    CHECK(answer.kind() == "slow_caller");
    CHECK(caller.closed_by_host());
    CHECK(host.nothing_left());
    CHECK(host.budgets.made() == 0);
    CHECK(engine.runs() == 0);
  }

  fake_engine engine{answer_words({"x"})};
  test_gateway host;
};

} // namespace

// Thousands of callers send a byte now and then. Each byte comes in time, so no read times out,
// and together they hold every thread of the host.
TEST_CASE("a header that comes a byte at a time is given up as a whole") {
  const slow_host slow;
  slow.check_given_up("GET /healthz HTTP/1.1\r\nX: ", "a");
  slow.check_given_up("", "G");
}

TEST_CASE("a body that never ends is given up, with nothing set aside for it") {
  const slow_host slow;
  slow.check_given_up(chat_head + "Content-Length: 90000\r\n\r\n", " ");
  slow.check_given_up(chat_head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n");
  slow.check_given_up(chat_head + "Transfer-Encoding: chunked\r\n\r\n1;", "x");
  slow.check_given_up(service_head + "Content-Length: 90000\r\n\r\n", "a");
  slow.check_given_up(service_head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n");
}

TEST_CASE("a caller that connects and sends nothing is closed") {
  const slow_host slow;
  raw_caller silent = slow.host.caller();
  CHECK(silent.closed_by_host());
}

// One caller of a stream reads a byte now and then while its engine has tokens without end. What
// it does not take must stay with the engine, not in the host, and nobody else may notice.
TEST_CASE("a caller that hardly reads costs its own stream only") {
  constexpr int flood = 64 * 1024;
  std::atomic<int> sent{0};
  const std::string text(1000, 'x');
  fake_engine engine{[&](engine_call& call) {
    const bool flooding = call.body.find("flood") != std::string::npos;
    if (!flooding)
      return answer_words({"quick"})(call);
    while (sent < flood && call.token(0, text))
      ++sent;
  }};
  test_limits limits;
  limits.server.write_timeout = time_ms{300};
  test_gateway host{limits};
  host.dispatch.add("e1", engine.address());
  raw_caller slow = host.caller(4096);
  CHECK(slow.send(chat_request_text(
      R"({"model":"m","messages":[{"role":"user","content":"flood"}],"stream":true,"max_tokens":2000})")));
  CHECK(slow.receive_until("\r\n\r\n").starts_with("HTTP/1.1 200"));
  for (int i = 0; i < 20; ++i) {
    const raw_answer other = host.ask(chat_request_text(chat_body(i % 2 == 0)));
    CHECK(other.body.find("quick") != std::string::npos);
  }
  CHECK(host.nothing_left());
  CHECK(sent < flood);
  CHECK(engine.cancels() == 1);
}
