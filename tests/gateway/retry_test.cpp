#include "test_gateway.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

const std::string not_idempotent = "X-Sedgechute-Idempotent: false\r\n";

/// Two endpoints: the first as scripted, the second whole.
struct two_engines {
  explicit two_engines(engine_script first) : one{std::move(first)} {
    host.dispatch.add("e1", one.address());
    host.dispatch.add("e2", two.address());
  }

  raw_answer ask(bool stream, const std::string& headers = "", const std::string& more = "") {
    const raw_answer answer = host.ask(chat_request_text(chat_body(stream, more), headers));
    CHECK(host.nothing_left());
    CHECK(host.budgets.bills().size() == 1);
    return answer;
  }

  fake_engine one;
  fake_engine two{answer_words({"two"})};
  test_gateway host;
};

void cut_after(engine_call& call, int tokens, bool numbered) {
  for (int i = 1; i <= tokens; ++i)
    call.token(numbered ? i : 0, "one");
  call.cut();
}

bool has(const raw_answer& answer, const std::string& text) {
  return answer.body.find(text) != std::string::npos;
}

} // namespace

TEST_CASE("a run that is lost before its first token goes to another endpoint") {
  for (const bool stream : {false, true}) {
    two_engines engines{[](engine_call& call) { call.cut(); }};
    const raw_answer answer = engines.ask(stream);
    CHECK(answer.status == 200);
    CHECK(has(answer, "two"));
    CHECK(engines.host.budgets.bills() == std::vector<std::uint64_t>{11});
  }
}

// A prompt crashes the engine, which is back at once. The connection had served a request before,
// so its loss looked like one that the engine had closed while it was idle: the prompt was written
// to the same engine again, crashed it again, and counted as one engine lost.
TEST_CASE("a run that is lost on a kept connection is not written to the same engine again") {
  std::atomic<int> calls{0};
  two_engines engines{[&calls](engine_call& call) {
    if (++calls > 1)
      call.cut();
    else
      answer_words({"one"})(call);
  }};
  CHECK(has(engines.ask(false), "one"));
  const raw_answer answer = engines.host.ask(chat_request_text(chat_body(false)));
  CHECK(answer.status == 200);
  CHECK(has(answer, "two"));
  CHECK(engines.one.runs() == 2);
}

TEST_CASE("an engine that says it does not run the request costs it nothing") {
  two_engines engines{[](engine_call& call) { call.refuse(503); }};
  CHECK(has(engines.ask(false, not_idempotent), "two"));
  CHECK(engines.host.dispatch.outcomes().front() == turn_outcome::not_run);
}

TEST_CASE("an endpoint that cannot be reached is passed over, also for work that runs once") {
  test_gateway host;
  {
    const Poco::Net::ServerSocket closed{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    host.dispatch.add("gone", closed.address().toString());
  }
  fake_engine two{answer_words({"two"})};
  host.dispatch.add("e2", two.address());
  CHECK(has(host.ask(chat_request_text(chat_body(false), not_idempotent)), "two"));
  CHECK(host.nothing_left());
}

// The caller has a part of the first run's answer when that run's endpoint dies. Another run's
// tokens behind it would make one text of two; a plain end would look like a short whole answer.
TEST_CASE("a stream that is cut after its first token ends in an error event") {
  for (const bool numbered : {false, true}) {
    two_engines engines{[numbered](engine_call& call) { cut_after(call, 2, numbered); }};
    const raw_answer answer = engines.ask(true);
    CHECK(answer.status == 200);
    CHECK(has(answer, "event: error\n"));
    CHECK(has(answer, "\"kind\":\"stream_cut\""));
    CHECK_FALSE(has(answer, "[DONE]"));
    CHECK_FALSE(has(answer, "two"));
    CHECK(engines.two.runs() == 0);
    CHECK(engines.host.budgets.bills() == std::vector<std::uint64_t>{2 + 5});
  }
}

TEST_CASE("a whole answer is never made of two runs") {
  for (const bool numbered : {false, true}) {
    two_engines engines{[numbered](engine_call& call) { cut_after(call, 2, numbered); }};
    const raw_answer answer = engines.ask(false);
    CHECK(has(answer, "\"content\":\"two\""));
    CHECK(engines.two.runs() == 1);
    CHECK(engines.host.budgets.bills() == std::vector<std::uint64_t>{11});
  }
}

TEST_CASE("a broken connection is resumed behind the last token, and repeats are left out") {
  two_engines engines{[](engine_call& call) { cut_after(call, 2, true); }};
  engines.one.on_resume([](engine_call& call) {
    CHECK(call.path.ends_with("?after=2"));
    call.token(2, "one");
    call.token(3, "more");
    call.finish(4, R"({"prompt_tokens":10,"completion_tokens":3})");
  });
  const raw_answer answer = engines.ask(false);
  CHECK(has(answer, "\"content\":\"oneonemore\""));
  CHECK(engines.two.runs() == 0);
  CHECK(engines.host.budgets.bills() == std::vector<std::uint64_t>{13});
}

// The connection stays open and nothing comes on it any more, not even a heartbeat. The run goes on
// behind it.
TEST_CASE("a connection that falls silent is resumed on a new one") {
  std::atomic<bool> done{false};
  two_engines engines{[&](engine_call& call) {
    call.token(1, "one");
    while (!done)
      std::this_thread::sleep_for(std::chrono::milliseconds{2});
  }};
  engines.one.on_resume([&](engine_call& call) {
    call.token(2, "more");
    call.finish(3, R"({"prompt_tokens":10,"completion_tokens":2})");
    done = true;
  });
  const raw_answer answer = engines.ask(true);
  CHECK(has(answer, "more"));
  CHECK(answer.body.ends_with("data: [DONE]\n\n"));
  CHECK(engines.two.runs() == 0);
  done = true;
}

// An engine numbers nothing and its connection breaks. Asked to go on it can only begin anew, and
// the caller would get the first tokens twice.
TEST_CASE("a stream without positions is not resumed") {
  two_engines engines{[](engine_call& call) { cut_after(call, 2, false); }};
  engines.one.on_resume(answer_words({"again"}));
  const raw_answer answer = engines.ask(true);
  CHECK(has(answer, "event: error\n"));
  CHECK_FALSE(has(answer, "again"));
  CHECK(engines.one.resumes() == 0);
}

TEST_CASE("work that may not run twice is not sent again once it may have run") {
  for (const int tokens : {0, 2}) {
    two_engines engines{[tokens](engine_call& call) { cut_after(call, tokens, true); }};
    const raw_answer answer = engines.ask(false, not_idempotent);
    CHECK(answer.status == 504);
    CHECK(answer.kind() == "outcome_unknown");
    CHECK(engines.one.runs() == 1);
    CHECK(engines.two.runs() == 0);
  }
}

TEST_CASE("a stream that ends without its finish marker is not taken for whole") {
  two_engines engines{[](engine_call& call) { call.token(1, "one"); }};
  const raw_answer answer = engines.ask(true);
  CHECK(has(answer, "event: error\n"));
  CHECK_FALSE(has(answer, "[DONE]"));
}

TEST_CASE("an engine that reports no usage is billed by what was delivered") {
  for (const bool numbered : {false, true}) {
    two_engines engines{[numbered](engine_call& call) {
      for (int i = 1; i <= 3; ++i)
        call.token(numbered ? i : 0, "w");
      call.finish(0, "");
    }};
    CHECK(has(engines.ask(false), "\"content\":\"www\""));
    CHECK(engines.host.budgets.bills() == std::vector<std::uint64_t>{3 + 5});
  }
}

TEST_CASE("an engine that reports more than it was allowed is billed at the bound") {
  two_engines engines{[](engine_call& call) {
    call.token(1, "w");
    call.finish(2, R"({"prompt_tokens":999999,"completion_tokens":999999})");
  }};
  (void)engines.ask(false, "", R"(,"max_tokens":50)");
  CHECK(engines.host.budgets.bills() == std::vector<std::uint64_t>{17 + 50});
}

// An engine lost its count and goes on for ever. Its answer would fill the host's memory, and its
// caller would wait for good.
TEST_CASE("an engine that goes on behind its bound is given up") {
  const std::string large(100000, 'x');
  for (const std::string& text : {std::string{"x"}, large}) {
    two_engines engines{[&text](engine_call& call) {
      for (int i = 1; call.token(i, text); ++i) {
      }
    }};
    CHECK(has(engines.ask(false, "", R"(,"max_tokens":50)"), "\"content\":\"two\""));
  }
}

TEST_CASE("an engine that never ends its line is given up") {
  two_engines engines{[](engine_call& call) {
    const std::string part(100000, 'x');
    (void)call.raw("data: ");
    while (call.raw(part)) {
    }
  }};
  CHECK(has(engines.ask(false), "\"content\":\"two\""));
}

TEST_CASE("an error between a turn and its run leaves nothing behind") {
  two_engines engines{answer_words({"one"})};
  engines.host.claims.fail_next_dispatching();
  const raw_answer answer = engines.ask(false, "Idempotency-Key: k\r\n");
  CHECK(answer.status == 500);
  CHECK(answer.kind() == "internal");
  CHECK(engines.host.claims.state_of("k") == "unknown");
  CHECK(engines.host.status.internal_errors().size() == 1);
}
