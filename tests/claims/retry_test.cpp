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

TEST_CASE("a first request proceeds, a concurrent one joins it, and a later one gets the answer") {
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

// The entry host dies while the endpoint generates an answer, and the caller retries on another
// host. A request that isn't idempotent must not start a second time, but the endpoint may still
// have its stream.
TEST_CASE("after the loss of its host a request may only be resumed unless it is idempotent") {
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

// The entry host dies shortly before or after the dispatch, and other hosts can't know which. The
// peer has no stream position, so there is nothing to resume.
TEST_CASE("retries get outcome unknown if the host died without copying a stream position") {
  small_fleet fleet{4};
  const std::size_t entry = fleet.uninvolved_host_of(key);
  REQUIRE(proceeds(fleet.ask(entry, key)));
  fleet.stop(entry);
  fleet.run(2_s);
  CHECK(refuses(fleet.ask(fleet.holder_of(key), key), error_kind::outcome_unknown));
  CHECK(refuses(fleet.ask(fleet.witness_of(key), key), error_kind::outcome_unknown));
}

TEST_CASE("a retained answer survives the loss of its entry host") {
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

// The entry host is paused between grant and dispatch for longer than the retention. It will
// dispatch when it resumes, so a retry on another host must not be granted the key meanwhile.
TEST_CASE("a key granted to a host that is paused beyond the retention is not granted again") {
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

// An entry host can't reach the holder. It must not report `not run` for a caller's key, because
// the key may be running on another host.
TEST_CASE("a host cut off from the holder refuses in time, with not run only for fresh keys") {
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

TEST_CASE(
    "a request refused before its dispatch gets that error, and its key can be claimed again") {
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

// The host of an idempotent request is paused while the request waits for capacity. It is believed
// dead, and another host runs the request. When the first host resumes without finding capacity, it
// must not report `not run`.
TEST_CASE("a resumed host does not report not run for a request that another host has run") {
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

TEST_CASE("a look-up returns the state of a key and never grants it") {
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
