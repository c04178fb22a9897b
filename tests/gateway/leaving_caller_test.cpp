#include "test_gateway.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

void short_pause() {
  std::this_thread::sleep_for(std::chrono::milliseconds{2});
}

/// Sends heartbeats until the test says go or the host leaves.
void beat_until(engine_call& call, const std::atomic<bool>& go) {
  while (!go && call.heartbeat())
    short_pause();
}

} // namespace

TEST_CASE("a caller that leaves while it waits for its turn frees its place in the queue") {
  fake_engine engine{answer_words({"x"})};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  host.dispatch.close_gate();
  for (const bool stream : {false, true}) {
    raw_caller caller = host.caller();
    CHECK(caller.send(chat_request_text(chat_body(stream))));
    CHECK(eventually([&] { return host.dispatch.waiting() == 1; }));
    caller.leave();
    CHECK(host.nothing_left());
  }
  CHECK(engine.runs() == 0);
  CHECK(host.budgets.bills() == std::vector<std::uint64_t>{0, 0});
  CHECK(host.status.ends().back().refused == error_kind::caller_gone);
}

// The caller has sent its next request behind the first and then left. Its connection is readable,
// which looks like a caller that is still here.
TEST_CASE("a caller that leaves behind a pipelined request is noticed") {
  test_gateway host;
  host.dispatch.close_gate();
  raw_caller caller = host.caller();
  CHECK(caller.send(chat_request_text(chat_body(false)) + chat_request_text(chat_body(false))));
  CHECK(eventually([&] { return host.dispatch.waiting() == 1; }));
  caller.leave();
  CHECK(host.nothing_left());
}

TEST_CASE("a caller that leaves before the first token ends the run and pays nothing") {
  for (const bool heartbeats : {false, true})
    for (const bool stream : {false, true}) {
      std::atomic<bool> go{false};
      fake_engine engine{[&](engine_call& call) {
        if (heartbeats)
          return beat_until(call, go);
        while (!go)
          short_pause();
        call.cut();
      }};
      test_limits limits;
      limits.engine.silence = time_ms{8000}; // far behind what the test takes
      test_gateway host{limits};
      host.dispatch.add("e1", engine.address());
      raw_caller caller = host.caller();
      CHECK(caller.send(chat_request_text(chat_body(stream))));
      CHECK(eventually([&] { return engine.runs() == 1; }));
      caller.leave();
      CHECK(eventually([&] { return engine.cancels() == 1; }));
      CHECK(host.nothing_left());
      CHECK(host.budgets.bills() == std::vector<std::uint64_t>{0});
      CHECK(host.dispatch.outcomes() == std::vector{turn_outcome::caller_left});
      go = true;
    }
}

TEST_CASE("a caller that leaves in mid-answer ends the run and pays what was delivered") {
  for (const bool stream : {false, true}) {
    std::atomic<bool> go{false};
    fake_engine engine{[&](engine_call& call) {
      for (int i = 1; i <= 3; ++i)
        call.token(i, "w");
      beat_until(call, go);
    }};
    test_gateway host;
    host.dispatch.add("e1", engine.address());
    raw_caller caller = host.caller();
    CHECK(caller.send(chat_request_text(chat_body(stream))));
    CHECK(eventually([&] { return engine.runs() == 1; }));
    if (stream)
      CHECK(caller.receive_until("id: 3").ends_with("id: 3"));
    caller.leave();
    CHECK(eventually([&] { return engine.cancels() == 1; }));
    CHECK(host.nothing_left());
    CHECK(host.dispatch.outcomes() == std::vector{turn_outcome::caller_left});
    REQUIRE(host.budgets.bills().size() == 1);
    // "user", "hello" and 8 for the message are at most 17 tokens, and a quarter of that is billed.
    if (stream)
      CHECK(host.budgets.bills().front() == 3 + 5);
    go = true;
  }
}

// A caller with a key leaves, and its retry shall get the answer: the run goes on.
TEST_CASE("a keyed request goes on without its caller, and its retry gets the answer") {
  std::atomic<bool> go{false};
  fake_engine engine{[&](engine_call& call) {
    call.token(1, "kept");
    beat_until(call, go);
    call.finish(2, R"({"prompt_tokens":10,"completion_tokens":1})");
  }};
  test_gateway host;
  host.dispatch.add("e1", engine.address());
  const std::string request = chat_request_text(chat_body(true), "Idempotency-Key: k\r\n");
  raw_caller caller = host.caller();
  CHECK(caller.send(request));
  CHECK(caller.receive_until("kept").ends_with("kept"));
  caller.leave();
  raw_caller retry = host.caller();
  CHECK(retry.send(request));
  go = true;
  const raw_answer answer = retry.receive();
  CHECK(answer.body.find("kept") != std::string::npos);
  CHECK(answer.body.ends_with("data: [DONE]\n\n"));
  CHECK(host.nothing_left());
  CHECK(engine.runs() == 1);
  CHECK(engine.cancels() == 0);
  CHECK(host.budgets.bills() == std::vector<std::uint64_t>{11});
}
