#include "wire/impl/document_codec.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <fstream>

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

[[nodiscard]] long resident_kb() {
  std::ifstream status{"/proc/self/status"};
  std::string word;
  long value = 0;
  while (status >> word)
    if (word == "VmRSS:" && status >> value)
      return value;
  return 0;
}

[[nodiscard]] double seconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
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

// Run by hand: test_config_wire --no-skip -tc="start*"
TEST_CASE("start of a host from a checkpoint of 220,000 contracts" * doctest::skip()) {
  constexpr std::size_t contracts = 220'000;
  const auto parts = split_snapshot(store_of(contracts).snapshot(), 256 << 10);
  const long before = resident_kb();
  const auto start = std::chrono::steady_clock::now();
  snapshot_assembler assembler;
  std::optional<document_snapshot> whole;
  std::size_t bytes = 0;
  for (const auto& part : parts) {
    bytes += part.slice().size();
    whole = assembler.add(part);
  }
  REQUIRE(whole);
  document_store store;
  store.restore(*whole);
  const double seconds = seconds_since(start);
  CHECK(store.contracts().size() == contracts);
  CHECK(store.authenticate("sk-k219999-secret") != nullptr);
  MESSAGE("snapshot bytes " << bytes << ", parts " << parts.size() << ", seconds " << seconds);
  whole.reset();
  const auto copy = std::make_unique<document_store>(store);
  const long after_copy = resident_kb();
  const auto second = std::make_unique<document_store>(store);
  MESSAGE("resident KB of one more store " << resident_kb() - after_copy << ", before " << before);
}

// Run by hand: test_config_wire --no-skip -tc="cost*"
TEST_CASE("cost of a change, by the number of contracts in force" * doctest::skip()) {
  constexpr std::size_t changes = 3700;
  for (const std::size_t contracts :
       {std::size_t{830}, std::size_t{22'000}, std::size_t{220'000}}) {
    document_store store = store_of(contracts);
    std::size_t bytes = 0;
    double seconds = 0;
    for (std::size_t i = 0; i < changes; ++i) {
      document_record record;
      contract agreed = sample_contract(i % contracts);
      agreed.top_ups.push_back({"more-" + std::to_string(i), 500});
      record.record_id = "change-" + std::to_string(i);
      record.name = agreed.team.str();
      record.replaces = store.revision_of(record.kind, record.name);
      record.based_on = store.sequence();
      record.body = to_text(contract_table().write(agreed));
      bytes += to_wire(record).ByteSizeLong();
      const auto start = std::chrono::steady_clock::now();
      const auto done = store.apply(store.last_offset() + 1, record, {});
      seconds += seconds_since(start);
      CHECK(done.outcome.verdict == publish_verdict::in_force);
    }
    MESSAGE(contracts << " contracts: " << seconds / changes * 1e6 << " us and " << bytes / changes
                      << " bytes a change");
  }
}
