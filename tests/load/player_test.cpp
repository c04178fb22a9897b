#include "load/load.hpp"
#include "standin/standin.hpp"

#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>

#include <fstream>

using namespace sedgechute;
using namespace sedgechute::load;

namespace {

struct fixture {
  standin::pacer pace;
  standin::engine engine{
      {.address = {"127.0.0.1", 0}, .first_token_ms = 0, .token_ms = 0, .prefill_tokens_per_s = 0},
      pace};
  std::vector<target> targets{{engine.server().address(), true}};

  void fault(const char* name, const Poco::Dynamic::Var& value) {
    Poco::JSON::Object change;
    change.set(name, value);
    engine.server().board().merge(change);
  }
};

} // namespace

TEST_CASE("a played call comes back whole and is counted") {
  fixture with;
  const load_call call = make_chat_call({.max_tokens = 7}, 1);
  tally counts;
  run(std::vector{call}, with.targets, {}, std::chrono::steady_clock::now(), counts);
  CHECK(counts.total().answered == 1);
  CHECK(counts.total().tokens == 7);
  CHECK(counts.total().used > 7);
}

TEST_CASE("events that come twice are seen as a disordered answer") {
  fixture with;
  with.fault("duplicate", 1);
  player caller{with.targets, 1};
  const auto outcome =
      caller.play(make_chat_call({.max_tokens = 4}, 1), 0, std::chrono::steady_clock::now());
  CHECK(outcome.disordered);
}

TEST_CASE("a cut answer stays unresolved without a key and is asked for again with one") {
  fixture with;
  with.fault("cut_after_tokens", 2);
  player caller{with.targets, 3};
  const auto once =
      caller.play(make_chat_call({.max_tokens = 4}, 1), 0, std::chrono::steady_clock::now());
  CHECK(once.end == call_end::unresolved);
  CHECK(once.tries == 1);
  const auto again = caller.play(make_chat_call({.max_tokens = 4, .keyed = true}, 2), 0,
                                 std::chrono::steady_clock::now());
  CHECK(again.tries == 3);
}

// A doubled order is a real parcel and a real charge to someone's card: the tool must see that a
// call it marked as non-idempotent ran at two engines.
TEST_CASE("a non-idempotent call that ran twice is found in the engines' accounts") {
  fixture with;
  load_call call = make_chat_call({.max_tokens = 4}, 1);
  call.non_idempotent = true;
  audit checks{{with.targets[0].address}, {}, ""};
  player caller{with.targets, 1};
  checks.note(call, caller.play(call, 0, std::chrono::steady_clock::now()));
  checks.read_runs();
  CHECK(checks.ran_twice() == 0);
  (void)caller.play(call, 0, std::chrono::steady_clock::now());
  checks.read_runs();
  CHECK(checks.ran_twice() == 1);
}

TEST_CASE("a script is read with its teams' keys, and later rounds are calls of their own") {
  const Poco::TemporaryFile script;
  std::ofstream{script.path()}
      << R"({"team":"a","class":"chat","model":"m","prompt":"Sj\u00f3n?","max_tokens":5,)"
      << R"("stream":true,"idempotency_key":"k","non_idempotent":true})" << '\n'
      << R"({"team":"b","method":"GET","path":"/services/orders/slots"})" << '\n';
  const auto calls =
      read_script(script.path(), {.keys = {{"a", "sk-a"}}, .per_second = 10, .repeats = 2});
  REQUIRE(calls.size() == 4);
  CHECK(calls[0].bearer == "sk-a");
  CHECK(calls[0].fingerprint == standin::hex16(stable_hash("user\nSj\xc3\xb3n?\n")));
  CHECK(calls[0].non_idempotent);
  CHECK_FALSE(calls[1].chat);
  CHECK(calls[1].due == time_ms{100});
  CHECK(calls[2].key != calls[0].key);
  CHECK(calls[2].fingerprint != calls[0].fingerprint);
}

TEST_CASE("a malformed line of a script is named") {
  const Poco::TemporaryFile script;
  std::ofstream{script.path()} << R"({"team":"b","path":"/services/orders/x"})"
                               << "\n{\n";
  CHECK_THROWS_WITH_AS((void)read_script(script.path(), {}),
                       doctest::Contains((script.path() + ":2").c_str()), error);
}

TEST_CASE("what a team used counts each key once, and a service call at its price") {
  audit checks{{}, {}, "", 3};
  const call_outcome chat{.end = call_end::answered, .used = 40};
  const load_call keyed{.team = "a", .key = "k"};
  checks.note(keyed, chat);
  checks.note(keyed, chat);
  checks.note({.team = "a", .chat = false}, {.end = call_end::answered});
  CHECK(checks.use_by_team().at("a").tokens == 43);
  CHECK(checks.use_by_team().at("a").all_answered);
  checks.note({.team = "a"}, {.end = call_end::refused});
  CHECK_FALSE(checks.use_by_team().at("a").all_answered);
}
