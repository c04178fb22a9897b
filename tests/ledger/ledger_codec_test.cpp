#include "wire/impl/ledger_codec.hpp"

#include "fleet_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace sedgechute;
using namespace sedgechute::ledger;

namespace {

const incarnation holder{host_id{"hf-a-1"}, 7};

std::vector<ledger_record> every_record() {
  const record_id id{11, 12};
  report reports;
  reports.epochs.push_back({4, 2, 10, 11, 12, 13, true, {{3, 1, 9}}});
  reclaim_batch reclaims;
  reclaims.epochs.push_back({4, 1, 100});
  return {
      {id, grant{team_id{"t"}, 3, holder, {}, data_centre_id{"hf-a"}, 50, 5, 9}},
      {id, reports},
      {id, reclaims},
      {id, abandon{4}},
      {id, replace_witness{4, 1, holder, 20}},
      {id, sedgechute::ledger::release{team_id{"t"}, 4, 5, 6, release_proof::fencing, "ops", 8}}};
}

std::vector<ledger_message> every_message() {
  const team_id team{"t"};
  const request_id key{"k"};
  return {open_chunk{1, 2, 3},
          chunk_opened{1, 2, 3},
          chunk_refused{1, 2},
          reserve_request{1, team, key, 5, time_ms{6}},
          reserve_reply{1, reserve_verdict::elsewhere, 3, 4},
          settle_request{1, team, key, settle_kind::disown, 4},
          settle_reply{1},
          reservation_probe{1, team, key},
          token_request{team, 1, 2, 3},
          token_transfer{team, 1, 2, 3, 4},
          transfer_ack{1, 2},
          transfer_declined{1, 2},
          token_refusal{team, 1, 2, 3},
          hold_budget{team}};
}

/// Checks that a value encodes to the same bytes after a round trip.
template <typename Wire, typename Value>
void check_round_trip(const Value& value) {
  const std::string bytes = to_wire(value).SerializeAsString();
  Wire parsed;
  REQUIRE(parsed.ParseFromString(bytes));
  CHECK(to_wire(from_wire(parsed)).SerializeAsString() == bytes);
}

} // namespace

TEST_CASE("every record, message and checkpoint round-trips through the wire format") {
  const std::vector<ledger_message> messages = every_message();
  CHECK(messages.size() == std::variant_size_v<ledger_message>);
  for (const ledger_message& message : messages) {
    check_round_trip<wire::ledger_message>(message);
    CHECK(from_wire(to_wire(message)).index() == message.index());
  }
  const std::vector<ledger_record> records = every_record();
  CHECK(records.size() == std::variant_size_v<record_body>);
  for (const ledger_record& record : records) {
    check_round_trip<wire::ledger_record>(record);
    CHECK(from_wire(to_wire(record)).body.index() == record.body.index());
  }
}

TEST_CASE("a checkpoint that was sent restores to the same state") {
  fleet_model fleet{{}, 3};
  for (std::uint32_t i = 0; i < 20; ++i) {
    fleet.run_round();
    fleet.start_request(i % 4, i % 2, 100);
  }
  const ledger_snapshot snapshot = fleet.log_state().snapshot();
  REQUIRE(snapshot.delegations.size() > 1);
  check_round_trip<wire::ledger_snapshot>(snapshot);
  ledger_state restored{ledger_options{}};
  restored.restore(from_wire(to_wire(snapshot)));
  CHECK(restored.digest() == fleet.log_state().digest());
  CHECK(restored.offset() == fleet.log_state().offset());
}

TEST_CASE("an inconsistent checkpoint is rejected") {
  fleet_model fleet{{}, 3};
  fleet.start_request(0, 0, 100);
  for (int i = 0; i < 10; ++i)
    fleet.run_round();
  ledger_snapshot snapshot = fleet.log_state().snapshot();
  snapshot.teams.front().spent += 1;
  ledger_state restored{ledger_options{}};
  CHECK_THROWS_AS(restored.restore(snapshot), error);
}

TEST_CASE("a missing field, an unknown kind and an impossible amount are rejected") {
  CHECK_THROWS_AS(static_cast<void>(from_wire(wire::ledger_message{})), error);
  CHECK_THROWS_AS(static_cast<void>(from_wire(wire::ledger_record{})), error);
  wire::ledger_message message =
      to_wire(ledger_message{reserve_request{1, team_id{"t"}, {}, 5, {}}});
  CHECK_THROWS_AS(static_cast<void>(from_wire(message)), error);
  message = to_wire(ledger_message{token_request{team_id{"t"}, 1, 2, -3}});
  CHECK_THROWS_AS(static_cast<void>(from_wire(message)), error);
  message = to_wire(ledger_message{reserve_reply{}});
  message.mutable_reserve_reply()->set_verdict(wire::ledger_reserve_verdict_unset);
  CHECK_THROWS_AS(static_cast<void>(from_wire(message)), error);
}

// A faulty or hostile peer may send bytes that parse as protobuf but hold invalid values. Anything
// but a value or a typed error would terminate the host.
TEST_CASE("altered bytes give a value or a typed error") {
  std::mt19937_64 random{5};
  int rejected = 0;
  for (const ledger_record& record : every_record()) {
    const std::string bytes = to_wire(record).SerializeAsString();
    for (int i = 0; i < 2000; ++i) {
      std::string altered = bytes;
      altered[random() % altered.size()] = static_cast<char>(random() & 0x7fU);
      wire::ledger_record parsed;
      if (!parsed.ParseFromString(altered))
        continue;
      try {
        static_cast<void>(from_wire(parsed));
      } catch (const error& failure) {
        CHECK(failure.kind() == error_kind::invalid_document);
        ++rejected;
      }
    }
  }
  CHECK(rejected > 0);
}
