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
  return {claim_request{shard, some_claim(), true, false},
          claim_reply{1, claim_verdict::full, 2, some_claim()},
          countersign_request{shard, 3, some_claim()},
          countersign_reply{shard, 3, countersign_result::sealed, some_claim()},
          claim_report{shard, some_claim()},
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

TEST_CASE("every message survives the wire") {
  const auto messages = one_of_each();
  CHECK(messages.size() == std::variant_size_v<claims_message>);
  for (std::size_t i = 0; i < messages.size(); ++i) {
    CHECK(messages[i].index() == i);
    const claims_envelope envelope{some_host(8), some_host(9), messages[i]};
    CHECK(from_wire(to_wire(envelope)) == envelope);
  }
}

TEST_CASE("records and checkpoints survive the wire") {
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
  const claims_envelope envelope{some_host(8), some_host(9),
                                 claim_request{shard, some_claim(), false, false}};
  const wire::claims_message good = to_wire(envelope);

  wire::claims_message empty = good;
  empty.clear_body();
  CHECK_THROWS_AS((void)from_wire(empty), error);
  wire::claims_message nameless = good;
  nameless.mutable_request()->mutable_wanted()->clear_team();
  CHECK_THROWS_AS((void)from_wire(nameless), error);
  wire::claims_message long_key = good;
  long_key.mutable_request()->mutable_wanted()->set_key(std::string(max_claims_key + 1, 'k'));
  CHECK_THROWS_AS((void)from_wire(long_key), error);
  wire::claims_message bad_state = good;
  bad_state.mutable_request()->mutable_wanted()->set_state(static_cast<wire::claim_state>(99));
  CHECK_THROWS_AS((void)from_wire(bad_state), error);

  wire::claims_message bad_part =
      to_wire({some_host(8), some_host(9), table_part{shard, 5, 6, 7, 8, 0, 2, {}}});
  bad_part.mutable_part()->set_part(2);
  CHECK_THROWS_AS((void)from_wire(bad_part), error);
  CHECK_THROWS_AS((void)from_wire(wire::claims_record{}), error);
}
