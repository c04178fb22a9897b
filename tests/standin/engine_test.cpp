#include "caller.hpp"
#include "standin/standin.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace sedgechute;
using namespace sedgechute::standin;

namespace {

struct fixture {
  pacer pace;
  engine under_test;
  Poco::Net::SocketAddress address;

  explicit fixture(const engine_options& options = {}) : under_test{instant(options), pace} {
    address = under_test.server().address();
  }

  static engine_options instant(engine_options options) {
    options.address = any_port;
    options.first_token_ms = 0;
    options.prefill_tokens_per_s = 0;
    return options;
  }

  [[nodiscard]] run_account account(const std::string& id) const {
    const auto entry =
        call(address, "GET", "/admin/stats").json()->getObject("requests")->getObject(id);
    if (entry.isNull())
      return {};
    return {.fingerprint = entry->getValue<std::string>("fingerprint"),
            .runs = entry->getValue<std::uint64_t>("runs"),
            .joins = entry->getValue<std::uint64_t>("joins"),
            .prompt_tokens = entry->getValue<std::int64_t>("prompt_tokens"),
            .tokens = entry->getValue<std::int64_t>("tokens"),
            .finished = entry->getValue<bool>("finished"),
            .cancelled = entry->getValue<bool>("cancelled")};
  }
};

std::string ask(const std::string& text, int max_tokens = 5, bool stream = true) {
  return R"({"model":"lens-writer","messages":[{"role":"user","content":")" + text +
         R"("}],"max_tokens":)" + std::to_string(max_tokens) +
         ",\"stream\":" + (stream ? "true" : "false") + "}";
}

std::string fingerprint(const std::string& text) {
  return hex16(stable_hash("user\n" + text + "\n"));
}

bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

const std::string completions = "/v1/chat/completions";

} // namespace

TEST_CASE("a streamed answer has every token of its prompt, the usage and the finish marker") {
  fixture at{{.token_ms = 0}};
  const reply got = call(at.address, "POST", completions, ask("hello", 3), "r1");
  CHECK(got.status == 200);
  for (int i = 1; i <= 3; ++i)
    CHECK(has(got.body, "id: " + std::to_string(i) + "\n"));
  CHECK(has(got.body, fingerprint("hello") + ":3 "));
  CHECK_FALSE(has(got.body, fingerprint("hello") + ":4 "));
  CHECK(has(got.body, R"("finish_reason":"length")"));
  CHECK(has(got.body, R"("prompt_tokens":3,"completion_tokens":3,"total_tokens":6)"));
  CHECK(has(got.body, "data: [DONE]\n\n"));
}

TEST_CASE("an answer that is not streamed is one JSON document") {
  fixture at{{.token_ms = 0}};
  const reply got = call(at.address, "POST", completions, ask("hello", 2, false), "r1");
  const auto choice = got.json()->getArray("choices")->getObject(0);
  const std::string content = choice->getObject("message")->getValue<std::string>("content");
  CHECK(content == answer_token(fingerprint("hello"), 1) + answer_token(fingerprint("hello"), 2));
}

// A router that died has its request sent again by its caller, under the same id. If the engine
// ran it a second time, the team would pay twice for one answer.
TEST_CASE("a second request of the same id joins the run") {
  fixture at{{.token_ms = 0}};
  const reply first = call(at.address, "POST", completions, ask("hello"), "r1");
  const reply second = call(at.address, "POST", completions, ask("hello"), "r1");
  CHECK(first.body == second.body);
  CHECK(at.account("r1").runs == 1);
  CHECK(at.account("r1").joins == 1);
}

TEST_CASE("a cut stream is taken up again after the last token that came through") {
  fixture at{{.token_ms = 0}};
  CHECK(call(at.address, "POST", "/admin/faults", R"({"cut_after_tokens":2})").status == 200);
  CHECK_THROWS_AS(
      [&] {
        const reply cut = call(at.address, "POST", completions, ask("hello"), "r1");
        if (!has(cut.body, "[DONE]"))
          throw Poco::IOException{"cut"};
      }(),
      Poco::Exception);
  CHECK(call(at.address, "POST", "/admin/faults", R"({"cut_after_tokens":0})").status == 200);
  const reply rest = call(at.address, "GET", "/v1/streams/r1?after=2");
  CHECK_FALSE(has(rest.body, "id: 2\n"));
  CHECK(has(rest.body, "id: 3\n"));
  CHECK(has(rest.body, "[DONE]"));
  CHECK(at.account("r1").runs == 1);
  CHECK(call(at.address, "GET", "/v1/streams/other?after=0").status == 404);
}

TEST_CASE(
    "with its slots taken an engine queues, and cancelling a queued request leaves it unrun") {
  fixture at{{.max_running = 1, .token_ms = 10'000}};
  std::thread first{[&] {
    try {
      (void)call(at.address, "POST", completions, ask("first"), "r1");
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): cancelled below
    }
  }};
  while (at.account("r1").runs == 0)
    std::this_thread::yield();
  std::thread second{[&] {
    try {
      (void)call(at.address, "POST", completions, ask("second"), "r2");
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): cancelled below
    }
  }};
  while (call(at.address, "DELETE", "/v1/streams/r2").status != 200)
    std::this_thread::yield();
  CHECK(call(at.address, "DELETE", "/v1/streams/r1").status == 200);
  first.join();
  second.join();
  CHECK(at.account("r2").runs == 0);
  CHECK(at.account("r2").cancelled);
  CHECK(at.account("r1").cancelled);
  CHECK_FALSE(at.account("r1").finished);
}

TEST_CASE("a repeated prompt is served from the prefix cache, and its blocks are published") {
  fixture at{{.token_ms = 0, .event_delay_ms = 0}};
  const std::string text(2100, 'a');
  (void)call(at.address, "POST", completions, ask(text), "r1");
  const reply again = call(at.address, "POST", completions, ask(text), "r2");
  CHECK(has(again.body, R"("cached_tokens":512)"));
  const auto events = call(at.address, "GET", "/cache/events?after=0").json()->getArray("events");
  REQUIRE(events->size() == 2);
  CHECK(events->getObject(0)->getValue<std::string>("prefix") ==
        hex16(prefix_blocks("user\n" + text + "\n").front()));
}

// A host that was paused comes back and gives the order it had in mind an hour ago. An engine that
// checks refuses it; one that does not would drop the model that everybody now uses.
TEST_CASE(
    "an old order is refused by an engine that honours fencing and obeyed by one that does not") {
  fixture at;
  const std::string old_order = R"({"order_id":"a","fencing":4,"action":"unload","model":"m2"})";
  CHECK(call(at.address, "POST", "/orders",
             R"({"order_id":"b","fencing":9,"action":"load","model":"m2"})")
            .status == 200);
  const reply refused = call(at.address, "POST", "/orders", old_order);
  CHECK(refused.status == 409);
  CHECK(refused.json()->getValue<int>("newest") == 9);
  CHECK(call(at.address, "POST", "/admin/faults", R"({"fencing":"ignore"})").status == 200);
  CHECK(call(at.address, "POST", "/orders", old_order).status == 200);
}

TEST_CASE("a marked request crashes the engine, which comes back without its runs") {
  fixture at{{.token_ms = 0}};
  (void)call(at.address, "POST", completions, ask("hello"), "r1");
  (void)call(at.address, "POST", "/admin/faults", R"({"crash_on":"poison","restart_ms":0})");
  CHECK_THROWS_AS((void)call(at.address, "POST", completions, ask("poison"), "r2"),
                  Poco::Exception);
  CHECK(call(at.address, "GET", "/v1/streams/r1?after=0").status == 404);
  CHECK(call(at.address, "GET", "/admin/stats").json()->getValue<int>("crashes") == 1);
}

// Something between the two ends forgets an open connection: nothing arrives on it any more, and
// no end ever learns so. New connections work.
TEST_CASE("a silenced connection stays mute while a new one answers") {
  fixture at;
  Poco::Net::HTTPClientSession old_session{at.address};
  old_session.setKeepAlive(true);
  CHECK(call(old_session, "GET", "/healthz").status == 200);
  (void)call(at.address, "POST", "/admin/faults", R"({"silent":true})");
  CHECK(call(at.address, "GET", "/healthz").status == 200);
  old_session.socket().setReceiveTimeout(Poco::Timespan{0, 100'000});
  CHECK_THROWS_AS((void)call(old_session, "GET", "/healthz"), Poco::TimeoutException);
}

TEST_CASE("an unknown fault is refused and changes nothing") {
  fixture at;
  CHECK(call(at.address, "POST", "/admin/faults", R"({"leaving":true,"no_such":1})").status == 400);
  CHECK(has(call(at.address, "GET", "/healthz").body, "serving"));
}
