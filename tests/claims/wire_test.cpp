#include "claims/claims.hpp"
#include "wire/impl/claims_codec.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

incarnation some_host(std::uint64_t number) {
  return {host_id{"host"}, number};
}

claim some_claim() {
  return {{team_id{"team"}, "key"},
          7,
          true,
          3,
          some_host(1),
          9,
          some_host(2),
          some_host(3),
          request_state::dispatched,
          true,
          {some_host(4)}};
}

const claim_shard shard{data_centre_id{"hf-a"}, true, 5};

std::vector<claims_message> one_of_each() {
  const retained_answer answer{true, 2, endpoint_id{"e"}, 5, 200, "text/plain", "body", 1};
  return {claim_request{some_claim(), true, false},
          claim_reply{1, claim_verdict::full, 2, some_claim()},
          countersign_request{3, some_claim(), 4},
          countersign_reply{shard, 3, countersign_result::newer, 4, some_claim()},
          claim_report{some_claim()},
          claim_report_ack{4, request_state::refused, true},
          table_part{shard, 5, 6, 7, 8, 0, 2, {some_claim(), some_claim()}},
          table_part_ack{shard, 5, 8, 1},
          epoch_seen{shard, 5},
          replica_put{4, some_claim().id, answer},
          replica_stored{4},
          replica_fetch{4, some_claim().id},
          replica_reply{4, true, answer}};
}

} // namespace

TEST_CASE("every message is unchanged after encoding and decoding") {
  const auto messages = one_of_each();
  CHECK(messages.size() == std::variant_size_v<claims_message>);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    CHECK(messages[i].index() == i);
    const wire::claims_message sent = to_wire({some_host(8), some_host(9), {messages[i]}});
    CHECK(from_wire(sent, some_host(8), some_host(9)) == std::vector{messages[i]});
  }
  const claims_message granted = claim_reply{1, claim_verdict::granted, 2, std::nullopt};
  const wire::claims_message sent = to_wire({some_host(8), some_host(9), {granted}});
  CHECK(from_wire(sent, some_host(8), some_host(9)) == std::vector{granted});
}

TEST_CASE("an encoded message omits the names of its sender and receiver") {
  const claim subject = some_claim();
  const claims_message report = claim_report{subject};
  const wire::claims_message sent = to_wire({subject.entry, subject.peer, {report, report}});
  CHECK(sent.bodies_size() == 2);
  CHECK(sent.bodies(0).report().subject().entry().host().empty());
  CHECK(sent.bodies(0).report().subject().peer().host().empty());
  CHECK(from_wire(sent, subject.entry, subject.peer) == std::vector{report, report});
}

TEST_CASE("small messages to one host are bundled") {
  retained_answer large;
  large.body = std::string(1000, 'a');
  const claims_message small = replica_stored{1};
  std::vector<addressed_claims_message> sent(6, {some_host(1), small});
  sent.insert(sent.begin() + 1, {some_host(2), small});
  sent.push_back({some_host(1), replica_put{1, some_claim().id, large}});
  sent.push_back({some_host(1), small});
  std::vector<std::pair<std::uint64_t, std::size_t>> sizes;
  for (const claims_bundle& bundle : bundle_messages(sent))
    sizes.emplace_back(bundle.to.number, bundle.messages.size());
  CHECK(sizes == std::vector<std::pair<std::uint64_t, std::size_t>>{
                     {1, max_claims_bundle}, {2, 1}, {1, 2}, {1, 1}, {1, 1}});
}

TEST_CASE("records and checkpoints are unchanged after encoding and decoding") {
  const claims_record delegation{3, claim_delegation{shard, 4, some_host(1), some_host(2), 5}};
  const claims_record rotation{6, claim_rotation{shard, 7}};
  CHECK(from_wire(to_wire(delegation)) == delegation);
  CHECK(from_wire(to_wire(rotation)) == rotation);
  claims_snapshot snapshot;
  snapshot.shards.push_back(
      {shard, 1, 2, some_host(1), some_host(2), 3, {4, 5}, true, 6, {some_host(7)}, time_ms{0}});
  CHECK(from_wire(to_wire(snapshot)) == snapshot);
}

TEST_CASE("malformed messages and records are rejected") {
  const auto read = [](const wire::claims_message& message) {
    return from_wire(message, some_host(8), some_host(9));
  };
  const wire::claims_message good =
      to_wire({some_host(8), some_host(9), {claim_request{some_claim(), false, false}}});
  CHECK(read(good).size() == 1);

  wire::claims_message empty = good;
  empty.mutable_bodies(0)->clear_body();
  CHECK_THROWS_AS((void)read(empty), error);
  wire::claims_message oversized = good;
  for (std::size_t i = 0; i < max_claims_bundle; ++i)
    *oversized.add_bodies() = good.bodies(0);
  CHECK_THROWS_AS((void)read(oversized), error);
  const auto with = [&](const auto& change) {
    wire::claims_message changed = good;
    change(*changed.mutable_bodies(0)->mutable_request()->mutable_wanted());
    return changed;
  };
  CHECK_THROWS_AS((void)read(with([](wire::claim& c) { c.clear_team(); })), error);
  CHECK_THROWS_AS((void)read(with([](wire::claim& c) { c.clear_entry(); })), error);
  CHECK_THROWS_AS(
      (void)read(with([](wire::claim& c) { c.set_key(std::string(max_claims_key + 1, 'k')); })),
      error);
  CHECK_THROWS_AS(
      (void)read(with([](wire::claim& c) { c.set_state(static_cast<wire::claim_state>(99)); })),
      error);

  wire::claims_message bad_part =
      to_wire({some_host(8), some_host(9), {table_part{shard, 5, 6, 7, 8, 0, 2, {}}}});
  bad_part.mutable_bodies(0)->mutable_part()->set_part(2);
  CHECK_THROWS_AS((void)read(bad_part), error);
  CHECK_THROWS_AS((void)from_wire(wire::claims_record{}), error);
}
