#include "wire/impl/document_codec.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

[[nodiscard]] document_record sample_record() {
  document_record record;
  record.record_id = "r1";
  record.kind = document_kind::fleet;
  record.name = std::string{fleet_document_name};
  record.replaces = 7;
  record.based_on = 3;
  record.body = R"({"schema":1,"data_centres":[],"pools":[
    {"name":"lm","kind":"engine","models":[{"name":"m"}]}]})";
  record.author = "gudrun";
  record.published_at = time_ms{1700000000000};
  return record;
}

[[nodiscard]] contract sample_contract(std::size_t number) {
  contract agreed;
  agreed.team = team_id{"customer-" + std::to_string(number)};
  agreed.top_ups = {{"2024-03-" + std::to_string(number), 1'000'000}};
  agreed.keys = {hash_bearer_key("sk-k" + std::to_string(number) + "-secret",
                                 "00112233445566778899aabbccddeeff")};
  agreed.classes = {{"chat"}, {"report"}};
  agreed.default_class = "chat";
  agreed.pools = {pool_id{"lm"}};
  agreed.share = static_cast<std::int64_t>(1 + number % 10);
  return agreed;
}

[[nodiscard]] document_store store_of(std::size_t contracts) {
  document_store store;
  auto fleet = sample_record();
  fleet.replaces = 0;
  fleet.based_on = 0;
  store.apply(1, fleet, {});
  for (std::size_t i = 0; i < contracts; ++i) {
    document_record record;
    record.record_id = "c" + std::to_string(i);
    const contract agreed = sample_contract(i);
    record.name = agreed.team.str();
    record.based_on = store.sequence();
    record.body = to_text(contract_table().write(agreed));
    store.apply(i + 2, record, {});
  }
  return store;
}

} // namespace

TEST_CASE("records and relayed records survive the wire") {
  const document_record record = sample_record();
  CHECK(from_wire(to_wire(record)) == record);
  const relayed_document relayed{record, 12, 9, publish_verdict::conflict, "why", true};
  CHECK(from_wire(to_wire(relayed)) == relayed);
}

TEST_CASE("damaged records are refused") {
  auto message = to_wire(sample_record());
  message.set_kind(static_cast<wire::document_kind>(9));
  CHECK_THROWS_AS(static_cast<void>(from_wire(message)), error);
  message = to_wire(sample_record());
  message.clear_record_id();
  CHECK_THROWS_AS(static_cast<void>(from_wire(message)), error);
  relayed_document backwards{sample_record(), 9, 12, publish_verdict::in_force, "", false};
  CHECK_THROWS_AS(static_cast<void>(from_wire(to_wire(backwards))), error);
}

TEST_CASE("a snapshot in parts is whole in any order, and only then") {
  const document_store store = store_of(50);
  const document_snapshot taken = store.snapshot();
  auto parts = split_snapshot(taken, 1000);
  REQUIRE(parts.size() > 5);
  snapshot_assembler assembler;
  for (std::size_t i = parts.size() - 1; i > 0; --i) {
    CHECK_FALSE(assembler.add(parts[i]));
    CHECK_FALSE(assembler.add(parts[i]));
  }
  const auto whole = assembler.add(parts[0]);
  REQUIRE(whole);
  CHECK(*whole == taken);
  document_store restored;
  restored.restore(*whole);
  CHECK(restored.digest() == store.digest());
}
