#include "small_fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;
using namespace sedgechute::test;
using namespace sedgechute::literals;

namespace {

const std::string key = "order-17";

/// \brief Lets `who` run `key` and end with an answer.
void run_key(small_fleet& fleet, std::size_t host, const std::string& text) {
  const claim_decision granted = fleet.ask(host, text);
  REQUIRE(proceeds(granted));
  fleet.at(host).progress(fleet.now, granted.ticket, endpoint_id{"e"}, 0);
  fleet.at(host).finish_unknown(fleet.now, granted.ticket);
  fleet.run(1_s);
}

} // namespace

// The holder of a key is paused; its witness takes over. The holder wakes up, knows nothing of it
// yet, and gets the same key from a caller. It must not be able to grant it a second time.
TEST_CASE("a paused holder that wakes up can grant nothing") {
  small_fleet fleet{4};
  const std::size_t holder = fleet.holder_of(key);
  const std::size_t other = fleet.uninvolved_host_of(key);
  fleet.paused.insert(holder);
  fleet.run(5_s);
  CHECK(fleet.holder_of(key) != holder);
  run_key(fleet, other, key);
  // Awake, but its view of the log is stale.
  fleet.log_down = true;
  fleet.paused.clear();
  CHECK(refuses(fleet.ask(holder, key), error_kind::outcome_unknown));
  CHECK(refuses(fleet.ask(holder, "another"), error_kind::outcome_unknown));
  fleet.log_down = false;
  fleet.run(3_s);
  CHECK(proceeds(fleet.ask(holder, "another")));
  CHECK(refuses(fleet.ask(holder, key), error_kind::outcome_unknown));
}

TEST_CASE("claims survive the loss of one host after another") {
  small_fleet fleet{5};
  run_key(fleet, 0, key);
  for (int lost = 0; lost < 3; ++lost) {
    fleet.stop(lost % 2 == 0 ? fleet.holder_of(key) : fleet.witness_of(key));
    fleet.run(6_s);
    CHECK(refuses(fleet.ask(fleet.holder_of(key), key), error_kind::outcome_unknown));
  }
  CHECK(proceeds(fleet.ask(fleet.holder_of(key), "new")));
}

TEST_CASE("during a log outage claims go on with the holder and witness of before") {
  small_fleet fleet{4};
  fleet.log_down = true;
  fleet.run(60_s);
  run_key(fleet, 1, key);
  CHECK(refuses(fleet.ask(2, key), error_kind::outcome_unknown));
  CHECK(proceeds(fleet.ask(3, "new")));
}

// A rack is lost with the holder and the witness of a shard. Which keys they had granted is known
// to nobody, so the next holder must not say that any of them is new.
TEST_CASE("when both are lost, what they may have granted is unknown and new minted keys are not") {
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

  // Without proof that both have ended they may be cut off and still grant keys.
  fleet.run(120_s);
  CHECK(refuses(fleet.ask(caller, key), error_kind::outcome_unknown));
  for (const std::size_t host : {holder, witness})
    fleet.start(host);
  fleet.run(options.successor_wait + options.retention + 5_s);
  CHECK(proceeds(fleet.ask(caller, key)));
  CHECK(refuses(fleet.ask(caller, old_minted), error_kind::outcome_unknown));
}

// Holder and witness are cut off from their neighbours for a while, are taken for dead, and come
// back with everything they know.
TEST_CASE("when both were only cut off, nothing stays unknown once they are back") {
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

TEST_CASE("a rolling replacement of every host loses no claim and stops no service") {
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

// A holder was cut off from the log for so long that the log has dropped what it has not read. In
// the checkpoint it is the holder again, but others were in between.
TEST_CASE("a holder with a gap in its log grants nothing that may have been granted meanwhile") {
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

// The holder of everything missed records and lost track of its shards; a host that started later
// had none. To share the load it handed one over as if the other had all claims, which it had sent
// to nobody: a key that had run was granted again.
TEST_CASE("a holder with a gap in its log hands over nothing as if all of it were known") {
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

// All holders gave shards to the one host with the least to do, at the same instant. It then had
// the most, and they were moved on: eight records a second for ever with 70 hosts, each with a
// table to be sent, and three times the mean on some host.
TEST_CASE("shards come to rest, and no host has many more than the others") {
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
