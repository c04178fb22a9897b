#include "small_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;
using namespace sedgechute::test;
using namespace sedgechute::literals;

namespace {

const std::string key = "order-17";

/// \brief Runs the key `text` on `host`, ending with an unknown outcome.
void run_key(small_fleet& fleet, std::size_t host, const std::string& text) {
  const claim_decision granted = fleet.ask(host, text);
  REQUIRE(proceeds(granted));
  fleet.at(host).progress(fleet.now, granted.ticket, endpoint_id{"e"}, 0);
  fleet.at(host).finish_unknown(fleet.now, granted.ticket);
  fleet.run(1_s);
}

} // namespace

// The holder of a key is paused and its witness takes over. The holder resumes before it has read
// the record of the new epoch, and receives a request for the same key. It must not grant it again.
TEST_CASE("a resumed holder whose epoch was sealed can grant nothing") {
  small_fleet fleet{4};
  const std::size_t holder = fleet.holder_of(key);
  const std::size_t other = fleet.uninvolved_host_of(key);
  fleet.paused.insert(holder);
  fleet.run(5_s);
  CHECK(fleet.holder_of(key) != holder);
  run_key(fleet, other, key);
  // The holder resumes without having read the new records of the log.
  fleet.log_down = true;
  fleet.paused.clear();
  CHECK(refuses(fleet.ask(holder, key), error_kind::outcome_unknown));
  CHECK(refuses(fleet.ask(holder, "another"), error_kind::outcome_unknown));
  fleet.log_down = false;
  fleet.run(3_s);
  CHECK(proceeds(fleet.ask(holder, "another")));
  CHECK(refuses(fleet.ask(holder, key), error_kind::outcome_unknown));
}

TEST_CASE("claims survive the successive loss of several hosts") {
  small_fleet fleet{5};
  run_key(fleet, 0, key);
  for (int lost = 0; lost < 3; ++lost) {
    fleet.stop(lost % 2 == 0 ? fleet.holder_of(key) : fleet.witness_of(key));
    fleet.run(6_s);
    CHECK(refuses(fleet.ask(fleet.holder_of(key), key), error_kind::outcome_unknown));
  }
  CHECK(proceeds(fleet.ask(fleet.holder_of(key), "new")));
}

TEST_CASE("during a log outage holders and witnesses keep granting claims") {
  small_fleet fleet{4};
  fleet.log_down = true;
  fleet.run(60_s);
  run_key(fleet, 1, key);
  CHECK(refuses(fleet.ask(2, key), error_kind::outcome_unknown));
  CHECK(proceeds(fleet.ask(3, "new")));
}

// Holder and witness of a shard are lost together, and no other host has their claims. The next
// holder must not treat any key as new that they may have granted.
TEST_CASE("after the loss of holder and witness only newly minted keys are granted") {
  claims_options options;
  options.retention = 60_s;
  small_fleet fleet{7, options};
  const std::string old_minted = fleet.at(0).mint_key(fleet.now).value();
  const std::size_t holder = fleet.holder_of(key);
  const std::size_t witness = fleet.witness_of(key);
  const std::size_t minted_holder = fleet.holder_of(old_minted);
  const std::size_t minted_witness = fleet.witness_of(old_minted);
  for (const std::size_t host : {holder, witness, minted_holder, minted_witness})
    fleet.stop(host);
  fleet.run(12_s);
  const std::size_t caller = fleet.holder_of(key);
  CHECK(refuses(fleet.ask(caller, key), error_kind::outcome_unknown));
  CHECK(refuses(fleet.ask(caller, old_minted), error_kind::outcome_unknown));
  CHECK(proceeds(fleet.ask(caller, fleet.at(caller).mint_key(fleet.now).value())));

  // Until both are proven to have ended, they may only be cut off and may still grant keys.
  fleet.run(120_s);
  CHECK(refuses(fleet.ask(caller, key), error_kind::outcome_unknown));
  for (const std::size_t host : {holder, witness})
    fleet.start(host);
  fleet.run(options.successor_wait + options.retention + 5_s);
  CHECK(proceeds(fleet.ask(caller, key)));
  CHECK(refuses(fleet.ask(caller, old_minted), error_kind::outcome_unknown));
}

// Holder and witness are cut off from the other hosts, believed dead and replaced. When they are
// reconnected, they send their tables to the new holder.
TEST_CASE("if holder and witness were only cut off, their claims are recovered") {
  small_fleet fleet{5};
  run_key(fleet, fleet.holder_of(key), key);
  const std::size_t holder = fleet.holder_of(key);
  const std::size_t witness = fleet.witness_of(key);
  for (std::size_t host = 0; host < 5; ++host)
    if (host != holder && host != witness)
      fleet.cut.insert({{holder, host}, {witness, host}});
  fleet.run(20_s);
  const std::size_t successor = fleet.holder_of(key);
  REQUIRE(successor != holder);
  CHECK(refuses(fleet.ask(successor, "new"), error_kind::outcome_unknown));
  fleet.cut.clear();
  fleet.run(10_s);
  CHECK(refuses(fleet.ask(successor, key), error_kind::outcome_unknown));
  CHECK(proceeds(fleet.ask(successor, "new")));
  CHECK(fleet.at(successor).statistics(fleet.now).shards_with_unknown_claims == 0);
}

TEST_CASE("a rolling replacement of all hosts loses no claim and keeps granting") {
  small_fleet fleet{4};
  run_key(fleet, 0, key);
  for (std::size_t host = 0; host < 4; ++host) {
    fleet.drain(host);
    for (int i = 0; i < 600 && !fleet.at(host).drained(); ++i)
      fleet.run(100_ms);
    REQUIRE(fleet.at(host).drained());
    fleet.start(host);
    fleet.run(3_s);
    CHECK(refuses(fleet.ask((host + 1) % 4, key), error_kind::outcome_unknown));
    run_key(fleet, (host + 1) % 4, "new-" + std::to_string(host));
  }
  CHECK(fleet.at(0).statistics(fleet.now).shards_with_unknown_claims == 0);
}

TEST_CASE("hosts that start later take over a share of the shards") {
  claims_options options;
  small_fleet fleet{1, options};
  CHECK(proceeds(fleet.ask(0, key)));
  for (std::size_t host = 1; host < 3; ++host)
    fleet.start(host);
  fleet.run(60_s);
  for (std::size_t host = 0; host < 3; ++host) {
    const claims_statistics figures = fleet.at(host).statistics(fleet.now);
    CHECK(figures.shards_held + figures.shards_witnessed >= 1);
    CHECK(figures.shards_held <= 2);
  }
  CHECK(std::get<join_decision>(fleet.ask(2, key).body).host == fleet.who(0));
}

// A holder was cut off from the log until the log dropped records that it had not read. According
// to the checkpoint it is the holder, but other hosts may have held the shard in between.
TEST_CASE("a holder with a log gap grants no key that others may have granted during the gap") {
  small_fleet fleet{4};
  const std::size_t holder = fleet.holder_of(key);
  claims_snapshot checkpoint = fleet.at(holder).snapshot();
  for (shard_status& status : checkpoint.shards)
    status.epoch += 100;
  fleet.at(holder).restore(fleet.now, checkpoint);
  const std::size_t records = fleet.log.size();
  CHECK(refuses(fleet.ask(fleet.uninvolved_host_of(key), key), error_kind::outcome_unknown));
  REQUIRE(fleet.log.size() > records);
  for (std::size_t i = records; i < fleet.log.size(); ++i) {
    const auto* delegation = std::get_if<claim_delegation>(&fleet.log[i].body);
    if (delegation != nullptr && delegation->holder == fleet.who(holder))
      CHECK(delegation->known_since == 0);
  }
}

// A holder with a log gap moves a shard to a host that started later, to balance the load. If it
// handed the shard over as complete without having sent its table, a key that had run would be
// granted again.
TEST_CASE("a holder with a log gap does not hand over a shard as complete") {
  small_fleet fleet{1};
  CHECK(proceeds(fleet.ask(0, key)));
  fleet.start(1);
  fleet.run(2_s);
  claims_snapshot checkpoint = fleet.at(0).snapshot();
  constexpr std::uint64_t missed = 100;
  for (shard_status& status : checkpoint.shards)
    status.epoch += missed;
  fleet.at(0).restore(fleet.now, checkpoint);
  fleet.run(20_s);
  std::size_t proposed = 0;
  for (const claims_record& record : fleet.log) {
    const auto* delegation = std::get_if<claim_delegation>(&record.body);
    if (delegation == nullptr || delegation->replaces <= missed)
      continue;
    ++proposed;
    CHECK(delegation->known_since == 0);
  }
  CHECK(proposed > 0);
}

// If all holders moved shards to the least loaded host at the same time, it would become the most
// loaded one and the shards would be moved again. With 70 hosts this caused eight records a second
// without end, each with a table transfer, and three times the mean load on some host.
TEST_CASE("balancing comes to an end with a similar number of shards on every host") {
  constexpr std::size_t hosts = 32;
  constexpr std::size_t shards = 32;
  small_fleet fleet{hosts, {}, shards};
  fleet.run(120_s);
  const std::size_t records = fleet.log.size();
  fleet.run(30_s);
  CHECK(fleet.log.size() == records);
  std::size_t most = 0;
  for (std::size_t host = 0; host < hosts; ++host) {
    const claims_statistics figures = fleet.at(host).statistics(fleet.now);
    most = std::max(most, figures.shards_held + figures.shards_witnessed);
  }
  constexpr std::size_t mean = 2 * 3 * shards / hosts;
  CHECK(most <= mean + 2);
}
