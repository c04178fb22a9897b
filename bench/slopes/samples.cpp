#include "slopes/samples.hpp"

#include "config/config.hpp"
#include "slopes/names.hpp"

namespace sedgechute::slopes {

namespace {

constexpr std::uint64_t late_offset = 40'000'000;

std::string stored_ledger(std::uint64_t seed, ledger::record_body body) {
  wire::log_record record;
  *record.mutable_ledger() =
      to_wire(ledger::ledger_record{{mix_hash(seed, 1), mix_hash(seed, 2)}, std::move(body)});
  return record.SerializeAsString();
}

/// Salts and hashes of keys can't be compressed, so they must differ between contracts.
std::string random_hex(std::uint64_t seed, std::uint64_t words) {
  std::string digits;
  for (std::uint64_t word = 0; word < words; ++word)
    digits += absl::StrFormat("%016x", mix_hash(mix_hash(seed, 31), word));
  return digits;
}

} // namespace

std::string grant_record(std::size_t team, const incarnation& holder, const incarnation& witness) {
  ledger::grant body;
  body.team = team_name(team);
  body.holder = holder;
  body.witness = witness;
  body.data_centre = data_centre_name(0);
  body.tokens = 400'000;
  body.chunk = 40'000;
  body.basis = 99'000;
  return stored_ledger(team, body);
}

std::string report_record(std::uint64_t first_epoch, std::size_t rows, std::size_t version) {
  ledger::report body;
  for (std::size_t i = 0; i < rows; ++i) {
    ledger::epoch_report row;
    row.epoch = first_epoch + i;
    row.version = static_cast<std::uint32_t>(version);
    row.spent = static_cast<std::int64_t>(version) * 1000;
    body.epochs.push_back(row);
  }
  return stored_ledger(version, body);
}

contract usual_contract(std::size_t team) {
  contract agreed;
  agreed.team = team_name(team);
  agreed.top_ups = {{"first", 50'000'000}};
  agreed.keys = {{"key" + std::to_string(team), random_hex(team, 2), random_hex(team + 1, 4)}};
  agreed.classes = {{"chat"}};
  agreed.default_class = "chat";
  agreed.pools = {pool_name(0)};
  agreed.share = 1;
  return agreed;
}

std::string contract_record(std::size_t team, std::uint64_t based_on) {
  document_record made;
  made.based_on = based_on;
  made.record_id = absl::StrFormat("%016x%016x", mix_hash(team, 5), mix_hash(team, 6));
  made.name = team_name(team).str();
  made.body = to_text(contract_table().write(usual_contract(team)));
  made.author = "operator";
  wire::log_record record;
  *record.mutable_document() = to_wire(made);
  return record.SerializeAsString();
}

std::string fleet_record() {
  document_record made;
  made.record_id = absl::StrFormat("%016x%016x", mix_hash(99, 7), mix_hash(99, 8));
  made.kind = document_kind::fleet;
  made.name = std::string{fleet_document_name};
  made.body = R"({"schema":1,"data_centres":[],"share_total":1000000,"pools":[)";
  for (std::size_t pool = 0; pool < models; ++pool)
    made.body += absl::StrFormat(R"(%s{"name":"%s","kind":"engine","models":[{"name":"m%u"}]})",
                                 pool == 0 ? "" : ",", pool_name(pool).str(), pool);
  made.body += "]}";
  wire::log_record record;
  *record.mutable_document() = to_wire(made);
  return record.SerializeAsString();
}

std::string claim_delegation_record() {
  wire::log_record record;
  claim_delegation body;
  body.shard.data_centre = data_centre_name(0);
  body.shard.minted = true;
  body.shard.index = 3;
  body.replaces = late_offset;
  body.holder = host_name(1);
  body.witness = host_name(6);
  body.known_since = late_offset;
  *record.mutable_claims() = to_wire(claims_record{mix_hash(1, 2), body});
  return record.SerializeAsString();
}

std::string pool_claim_record() {
  wire::log_record record;
  *record.mutable_pool() = to_wire(pool_claim{pool_name(0), host_name(1), late_offset});
  return record.SerializeAsString();
}

ledger::ledger_record ledger_of(const std::string& stored) {
  wire::log_record record;
  record.ParseFromString(stored);
  return from_wire(record.ledger());
}

document_record document_of(const std::string& stored) {
  wire::log_record record;
  record.ParseFromString(stored);
  return from_wire(record.document());
}

share_report demand_report(std::size_t host, std::size_t pool, std::size_t teams) {
  share_report report;
  report.pool = pool_name(pool);
  report.from = host_name(host);
  report.sequence = 100'000;
  for (std::size_t i = 0; i < teams; ++i)
    report.teams.push_back({team_name((host * 7 + i * 13) % 830), 900.0 + static_cast<double>(i),
                            800.0 + static_cast<double>(i)});
  return report;
}

wire::envelope envelope_to(const incarnation& to) {
  wire::envelope envelope;
  envelope.set_from_host(host_name(0).host.str());
  envelope.set_from_number(host_name(0).number);
  envelope.set_to_number(to.number);
  return envelope;
}

std::size_t share_message_bytes(std::size_t pools, std::size_t teams) {
  routing_message message;
  for (std::size_t pool = 0; pool < pools; ++pool)
    message.shares.push_back(demand_report(0, pool, teams));
  wire::envelope envelope = envelope_to(host_name(1));
  *envelope.mutable_routing() = to_wire(message);
  return envelope.ByteSizeLong();
}

std::size_t load_message_bytes(std::size_t endpoints) {
  wire::envelope envelope = envelope_to(host_name(1));
  for (std::size_t i = 0; i < endpoints; ++i) {
    wire::endpoint_load& load = *envelope.mutable_loads()->add_loads();
    load.set_endpoint(endpoint_name(i).str());
    load.set_running(14);
    load.set_waiting(2);
    load.set_max_running(64);
    load.set_kv_used(81'233.0F);
    load.set_kv_total(262'144.0F);
    load.set_prompt_tokens_per_s(8200.0F);
    load.set_tokens_per_s(720.0F);
    load.set_age_ms(180);
    load.add_models("lens-writer@2026-10");
  }
  return envelope.ByteSizeLong();
}

std::size_t use_message_bytes(std::size_t endpoints) {
  routing_message message;
  use_report use;
  use.from = host_name(0);
  use.sequence = 100'000;
  for (std::size_t i = 0; i < endpoints; ++i)
    use.uses.push_back({endpoint_name(i), 3, {900.0, 0.0, 0.0}});
  message.use = use;
  wire::envelope envelope = envelope_to(host_name(1));
  *envelope.mutable_routing() = to_wire(message);
  return envelope.ByteSizeLong();
}

} // namespace sedgechute::slopes
