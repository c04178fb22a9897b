#include "store_run.hpp"

#include "config/config.hpp"
#include "history_model.hpp"
#include "wire/impl/document_codec.hpp"

#include <chrono>
#include <stdexcept>

namespace sedgechute::bench {
namespace {

constexpr std::size_t part_bytes = 256 << 10;
constexpr std::string_view salt = "00112233445566778899aabbccddeeff";

using wall = std::chrono::steady_clock;

[[nodiscard]] double seconds_since(wall::time_point start) {
  return std::chrono::duration<double>(wall::now() - start).count();
}

[[nodiscard]] contract sample_contract(std::size_t number) {
  contract agreed;
  agreed.team = team_id{"customer-" + std::to_string(number)};
  agreed.top_ups = {{"2024-03-" + std::to_string(number), 1'000'000}};
  agreed.keys = {hash_bearer_key("sk-k" + std::to_string(number) + "-secret", salt)};
  agreed.classes = {{"chat"}, {"report"}};
  agreed.default_class = "chat";
  agreed.pools = {pool_id{"lm"}};
  agreed.share = static_cast<std::int64_t>(1 + number % 10);
  return agreed;
}

[[nodiscard]] document_record record_of(const document_store& store, const contract& agreed,
                                        std::string id) {
  document_record record;
  record.record_id = std::move(id);
  record.name = agreed.team.str();
  record.replaces = store.revision_of(record.kind, record.name);
  record.based_on = store.sequence();
  record.body = to_text(contract_table().write(agreed));
  return record;
}

void apply(document_store& store, const document_record& record) {
  const auto done = store.apply(store.last_offset() + 1, record, {});
  if (done.outcome.verdict != publish_verdict::in_force)
    throw std::runtime_error{"a record of the measurement is void: " + done.outcome.reason};
}

[[nodiscard]] document_store filled_store(std::size_t contracts) {
  document_store store;
  document_record fleet;
  fleet.record_id = "fleet";
  fleet.kind = document_kind::fleet;
  fleet.name = std::string{fleet_document_name};
  fleet.body = R"({"schema":1,"data_centres":[],"pools":[
    {"name":"lm","kind":"engine","models":[{"name":"m"}]}]})";
  apply(store, fleet);
  for (std::size_t i = 0; i < contracts; ++i)
    apply(store, record_of(store, sample_contract(i), "c" + std::to_string(i)));
  return store;
}

} // namespace

history_result run_histories(std::size_t count) {
  history_result sum;
  for (; sum.histories < count; ++sum.histories) {
    const auto faults =
        testing::play_history(testing::random_history(sum.histories), testing::mutation::none);
    sum.reverted += faults.reverted;
    sum.half_applied += faults.half_applied;
    sum.lost += faults.lost;
  }
  return sum;
}

store_result run_store(std::size_t contracts, std::size_t changes) {
  store_result result;
  result.contracts = contracts;
  document_store store = filled_store(contracts);
  double seconds = 0;
  double bytes = 0;
  for (std::size_t i = 0; i < changes; ++i) {
    contract agreed = sample_contract(i % contracts);
    agreed.top_ups.push_back({"more-" + std::to_string(i), 500});
    const auto record = record_of(store, agreed, "change-" + std::to_string(i));
    bytes += static_cast<double>(to_wire(record).ByteSizeLong());
    const auto start = wall::now();
    apply(store, record);
    seconds += seconds_since(start);
  }
  result.change_us = seconds * 1e6 / static_cast<double>(changes);
  result.change_bytes = bytes / static_cast<double>(changes);
  const auto parts = split_snapshot(store.snapshot(), part_bytes);
  for (const auto& part : parts)
    result.checkpoint_mb += static_cast<double>(part.slice().size()) / 1e6;
  const auto start = wall::now();
  snapshot_assembler assembler;
  document_store restored;
  for (const auto& part : parts)
    if (const auto whole = assembler.add(part))
      restored.restore(*whole);
  result.restore_s = seconds_since(start);
  if (restored.digest() != store.digest())
    throw std::runtime_error{"the restored documents differ"};
  return result;
}

} // namespace sedgechute::bench
