#include "small_fleet.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::test;
using namespace sedgechute::literals;

namespace {

claims_options quick_options() {
  claims_options options;
  options.retention = 30_s;
  options.rotation_period = 10_s;
  return options;
}

void finish(small_fleet& fleet, std::size_t host, const claim_decision& granted) {
  REQUIRE(proceeds(granted));
  retained_answer answer;
  answer.status = 200;
  fleet.at(host).finish_answered(fleet.now, granted.ticket, answer);
  fleet.run(100_ms);
}

} // namespace

TEST_CASE("a minted key is kept for its retention and is refused as unknown from then on") {
  small_fleet fleet{4, quick_options()};
  const std::string key = fleet.at(0).mint_key(fleet.now).value();
  finish(fleet, 0, fleet.ask(0, key));
  fleet.run(20_s);
  CHECK(std::holds_alternative<retained_decision>(fleet.ask(1, key).body));
  fleet.run(60_s);
  CHECK(refuses(fleet.ask(1, key), error_kind::key_unknown));
  CHECK(fleet.at(fleet.holder_of(key)).statistics(fleet.now).stored_claims == 0);
  fleet.run(600_s);
  CHECK(refuses(fleet.ask(1, key), error_kind::key_unknown));
}

TEST_CASE("a caller's key is kept for its retention after its attempt ended, then counts as new") {
  small_fleet fleet{4, quick_options()};
  const claim_decision granted = fleet.ask(0, "order-17");
  fleet.run(120_s);
  CHECK(std::holds_alternative<join_decision>(fleet.ask(1, "order-17").body));
  finish(fleet, 0, granted);
  fleet.run(15_s);
  CHECK(std::holds_alternative<retained_decision>(fleet.ask(1, "order-17").body));
  fleet.run(45_s);
  CHECK(proceeds(fleet.ask(1, "order-17")));
}

// A team that sends thousands of keys must not evict the keys of other teams or prevent them from
// claiming new ones.
TEST_CASE("a team at its limit can claim no new keys, and other teams are not affected") {
  claims_options options = quick_options();
  options.max_claims_per_team = 5;
  small_fleet fleet{3, options};
  const std::size_t holder = fleet.holder_of("any");
  std::size_t granted = 0;
  for (int i = 0; i < 10; ++i)
    granted += proceeds(fleet.ask(holder, "key-" + std::to_string(i), false, 1, "flood")) ? 1 : 0;
  CHECK(granted == 5);
  CHECK(refuses(fleet.ask(holder, "more", false, 1, "flood"), error_kind::outcome_unknown));
  CHECK(proceeds(fleet.ask(holder, "mine", false, 1, "quiet")));
}

TEST_CASE("a full answer store evicts answers of the team that uses most of it") {
  answer_store store{20000, 5000};
  retained_answer answer;
  answer.complete = true;
  answer.body = std::string(500, 'x');
  store.put({team_id{"quiet"}, "mine"}, answer);
  for (int i = 0; i < 1000; ++i)
    store.put({team_id{"flood"}, std::to_string(i)}, answer);
  CHECK(store.bytes() <= 20000);
  CHECK(store.evicted() > 900);
  CHECK(store.find({team_id{"quiet"}, "mine"}) != nullptr);
  CHECK(store.find({team_id{"flood"}, "0"}) == nullptr);
  CHECK(store.find({team_id{"flood"}, "999"}) != nullptr);
  answer.body = std::string(6000, 'x');
  store.put({team_id{"quiet"}, "long"}, answer);
  CHECK(store.find({team_id{"quiet"}, "long"}) == nullptr);
}

TEST_CASE("a position never replaces a complete answer, nor an earlier attempt a later one") {
  answer_store store{20000, 5000};
  const claim_id id{team_id{"t"}, "k"};
  retained_answer position;
  position.attempt = 2;
  position.position = 7;
  store.put(id, position);
  retained_answer stale = position;
  stale.attempt = 1;
  stale.position = 70;
  store.put(id, stale);
  CHECK(store.find(id)->position == 7);
  retained_answer complete;
  complete.complete = true;
  complete.attempt = 2;
  store.put(id, complete);
  position.attempt = 3;
  store.put(id, position);
  CHECK(store.find(id)->complete);
}
