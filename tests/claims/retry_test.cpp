#include "small_fleet.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::test;
using namespace sedgechute::literals;

namespace {

const std::string key = "order-17";

retained_answer some_answer() {
  retained_answer answer;
  answer.status = 200;
  answer.body = "whole answer";
  return answer;
}

} // namespace

TEST_CASE("a first request proceeds, a concurrent one joins it, a later one gets the answer") {
  small_fleet fleet{4};
  const claim_decision first = fleet.ask(0, key);
  REQUIRE(proceeds(first));
  fleet.at(0).progress(fleet.now, first.ticket, endpoint_id{"e"}, 0);
  for (const std::size_t host : {0U, 1U, 2U, 3U})
    CHECK(std::get<join_decision>(fleet.ask(host, key).body).host == fleet.who(0));
  fleet.at(0).finish_answered(fleet.now, first.ticket, some_answer());
  for (const std::size_t host : {0U, 1U, 2U, 3U})
    CHECK(std::get<retained_decision>(fleet.ask(host, key).body).answer.body == "whole answer");
  CHECK(refuses(fleet.ask(2, key, false, 99), error_kind::key_reused));
  CHECK(fleet.ask(2, key, false, 1, "other team").body.index() == 0);
}

// A summary is being generated when its host dies. The caller sends it again to another host. The
// optician must not get a second letter, and the first one's text is still in the engine.
TEST_CASE(
    "after its host's death an order may only be resumed, a repeatable request starts again") {
  for (const bool idempotent : {false, true}) {
    small_fleet fleet{4};
    const std::size_t entry = fleet.uninvolved_host_of(key);
    const std::size_t other = fleet.holder_of(key);
    const claim_decision first = fleet.ask(entry, key, idempotent);
    REQUIRE(proceeds(first));
    fleet.at(entry).progress(fleet.now, first.ticket, endpoint_id{"lm-3"}, 12);
    fleet.run(100_ms);
    fleet.stop(entry);
    fleet.run(2_s);
    const auto second = std::get<proceed_decision>(fleet.ask(other, key, idempotent).body);
    CHECK(second.attempt == 2);
    CHECK(second.may_have_run);
    CHECK(second.resume_only == !idempotent);
    CHECK(second.endpoint == endpoint_id{"lm-3"});
    CHECK(second.position == 12);
    CHECK(second.run_attempt == 1);
  }
}

// The host dies between the grant and the dispatch, or right after it: nobody can tell which. The
// peer knows of no endpoint, so there is nothing to resume.
TEST_CASE("an order whose host died without a trace is told outcome unknown for good") {
  small_fleet fleet{4};
  const std::size_t entry = fleet.uninvolved_host_of(key);
  REQUIRE(proceeds(fleet.ask(entry, key)));
  fleet.stop(entry);
  fleet.run(2_s);
  CHECK(refuses(fleet.ask(fleet.holder_of(key), key), error_kind::outcome_unknown));
  CHECK(refuses(fleet.ask(fleet.witness_of(key), key), error_kind::outcome_unknown));
}

TEST_CASE("a retained answer outlives the host that gave it") {
  small_fleet fleet{4};
  const std::size_t entry = fleet.uninvolved_host_of(key);
  const claim_decision first = fleet.ask(entry, key);
  REQUIRE(proceeds(first));
  fleet.at(entry).finish_answered(fleet.now, first.ticket, some_answer());
  fleet.run(100_ms);
  fleet.stop(entry);
  fleet.run(2_s);
  for (std::size_t host = 0; host < 4; ++host)
    if (host != entry)
      CHECK(std::get<retained_decision>(fleet.ask(host, key).body).answer.body == "whole answer");
}

// The host that was granted the key is stopped before it dispatches, for longer than keys are
// remembered. Meanwhile the caller has tried again elsewhere. When it wakes up it dispatches.
TEST_CASE("a host paused longer than any retention still has the only right to run the key") {
  claims_options options;
  options.retention = 20_s;
  small_fleet fleet{4, options};
  const std::size_t entry = fleet.uninvolved_host_of(key);
  REQUIRE(proceeds(fleet.ask(entry, key)));
  fleet.paused.insert(entry);
  fleet.run(60_s);
  CHECK(refuses(fleet.ask(fleet.holder_of(key), key), error_kind::outcome_unknown));
  fleet.run(60_s);
  CHECK(refuses(fleet.ask(fleet.holder_of(key), key), error_kind::outcome_unknown));
}

// A host can't reach whoever decides. It must not say `not run`: the key may be running over there.
TEST_CASE("a host cut off from the holder answers within its bound, and truthfully") {
  small_fleet fleet{4};
  const std::size_t isolated = fleet.uninvolved_host_of(key);
  const std::string minted = fleet.at(isolated).mint_key(fleet.now).value();
  for (std::size_t host = 0; host < 4; ++host)
    fleet.cut.insert({isolated, host});
  const std::uint64_t keyed = fleet.begin(isolated, key);
  const std::uint64_t fresh =
      fleet.at(isolated).begin(fleet.now, {team_id{"t"}, minted, 1, false, true});
  fleet.run(claims_options{}.begin_timeout + 100_ms);
  CHECK(refuses(fleet.decision(isolated, keyed), error_kind::outcome_unknown));
  CHECK(refuses(fleet.decision(isolated, fresh), error_kind::not_ready));
  CHECK(answer_for(error_kind::not_ready).outcome == run_outcome::not_run);
  fleet.cut.clear();
  fleet.run(10_s);
  CHECK(proceeds(fleet.ask(fleet.holder_of(key), key)));
  CHECK(proceeds(fleet.ask(fleet.holder_of(key), minted)));
}

TEST_CASE("a request refused before its dispatch is told so, and its key may be used again") {
  for (const bool idempotent : {false, true}) {
    small_fleet fleet{4};
    const claim_decision first = fleet.ask(0, key, idempotent);
    REQUIRE(proceeds(first));
    fleet.at(0).finish_refused(fleet.now, first.ticket, error_kind::no_capacity);
    fleet.run(1_s);
    CHECK(refuses(fleet.decision(0, first.ticket), error_kind::no_capacity));
    const auto second = std::get<proceed_decision>(fleet.ask(1, key, idempotent).body);
    CHECK(second.attempt == 2);
    CHECK_FALSE(second.may_have_run);
  }
}

// A repeatable request waits for capacity while its host is paused. Believed dead, it is run by
// another host. When the first one wakes up it finds no capacity and is about to say `not run`.
TEST_CASE("a woken host does not say not run about what another host has run meanwhile") {
  small_fleet fleet{4};
  const std::size_t entry = fleet.uninvolved_host_of(key);
  const claim_decision first = fleet.ask(entry, key, true);
  REQUIRE(proceeds(first));
  fleet.paused.insert(entry);
  fleet.run(2_s);
  REQUIRE(proceeds(fleet.ask(fleet.holder_of(key), key, true)));
  fleet.paused.clear();
  fleet.at(entry).finish_refused(fleet.now, first.ticket, error_kind::no_capacity);
  fleet.run(3_s);
  CHECK(refuses(fleet.decision(entry, first.ticket), error_kind::outcome_unknown));
}

TEST_CASE("a look-up tells how a key stands and never grants it") {
  small_fleet fleet{4};
  const auto look_up = [&](std::size_t host) {
    const std::uint64_t ticket = fleet.at(host).look_up(fleet.now, team_id{"t"}, key);
    fleet.run(3_s);
    return fleet.decision(host, ticket);
  };
  CHECK(refuses(look_up(1), error_kind::key_unknown));
  const claim_decision first = fleet.ask(0, key);
  REQUIRE(proceeds(first));
  CHECK(std::get<join_decision>(look_up(1).body).host == fleet.who(0));
  CHECK(fleet.at(0).describe(team_id{"t"}, key).state == request_state::claimed);
  fleet.at(0).finish_answered(fleet.now, first.ticket, some_answer());
  fleet.run(100_ms);
  CHECK(std::get<retained_decision>(look_up(2).body).answer.body == "whole answer");
}
