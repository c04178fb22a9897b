#include "wire/impl/document_codec.hpp"

#include <array>
#include <utility>

namespace sedgechute {
namespace {

constexpr std::size_t longest_record_id = 64;
constexpr std::size_t longest_name = 128;
constexpr std::size_t longest_reason = 64 << 10;
/// 220,000 contracts in parts of 64 KB are fewer than 1,000.
constexpr std::uint32_t most_parts = 65536;

constexpr std::array verdicts{
    std::pair{publish_verdict::in_force, wire::PUBLISH_IN_FORCE},
    std::pair{publish_verdict::conflict, wire::PUBLISH_CONFLICT},
    std::pair{publish_verdict::invalid, wire::PUBLISH_INVALID},
    std::pair{publish_verdict::expired, wire::PUBLISH_EXPIRED},
    std::pair{publish_verdict::unreadable, wire::PUBLISH_UNREADABLE},
};

[[noreturn]] void refuse(std::string where, std::string why) {
  throw error{error_kind::malformed_request, std::move(where), std::move(why)};
}

void expect_length(const std::string& text, std::size_t least, std::size_t greatest,
                   const char* where) {
  if (text.size() < least || text.size() > greatest)
    refuse(where, std::to_string(text.size()) + " bytes");
}

[[nodiscard]] wire::document_kind to_wire(document_kind kind) noexcept {
  return kind == document_kind::fleet ? wire::DOCUMENT_FLEET : wire::DOCUMENT_CONTRACT;
}

[[nodiscard]] document_kind kind_from_wire(wire::document_kind kind) {
  if (kind == wire::DOCUMENT_FLEET)
    return document_kind::fleet;
  if (kind != wire::DOCUMENT_CONTRACT)
    refuse("document kind", std::to_string(kind) + " is unknown");
  return document_kind::contract;
}

[[nodiscard]] wire::publish_verdict to_wire(publish_verdict verdict) noexcept {
  for (const auto& [ours, theirs] : verdicts)
    if (ours == verdict)
      return theirs;
  return wire::PUBLISH_UNKNOWN;
}

[[nodiscard]] publish_verdict verdict_from_wire(wire::publish_verdict verdict) {
  for (const auto& [ours, theirs] : verdicts)
    if (theirs == verdict)
      return ours;
  refuse("verdict", std::to_string(verdict) + " is unknown");
}

[[nodiscard]] wire::publish_outcome to_wire(const publish_outcome& outcome) {
  wire::publish_outcome message;
  message.set_record_id(outcome.record_id);
  message.set_offset(outcome.offset);
  message.set_kind(to_wire(outcome.kind));
  message.set_name(outcome.name);
  message.set_replaces(outcome.replaces);
  message.set_verdict(to_wire(outcome.verdict));
  message.set_current(outcome.current);
  message.set_reason(outcome.reason);
  return message;
}

[[nodiscard]] publish_outcome outcome_from_wire(const wire::publish_outcome& message) {
  expect_length(message.record_id(), 1, longest_record_id, "outcome record id");
  publish_outcome outcome;
  outcome.record_id = message.record_id();
  outcome.offset = message.offset();
  outcome.kind = kind_from_wire(message.kind());
  outcome.name = message.name();
  outcome.replaces = message.replaces();
  outcome.verdict = verdict_from_wire(message.verdict());
  outcome.current = message.current();
  outcome.reason = message.reason();
  return outcome;
}

void add_contracts(const document_snapshot& snapshot, wire::document_snapshot& message) {
  for (const auto& one : snapshot.contracts) {
    auto* added = message.add_contracts();
    added->set_revision(one.revision);
    added->set_record_hash(one.record_hash);
    added->set_terms(one.terms);
    added->set_identity(one.identity);
  }
}

} // namespace

wire::document_record to_wire(const document_record& record) {
  wire::document_record message;
  message.set_record_id(record.record_id);
  message.set_kind(to_wire(record.kind));
  message.set_name(record.name);
  message.set_replaces(record.replaces);
  message.set_based_on(record.based_on);
  message.set_body(record.body);
  message.set_author(record.author);
  message.set_published_at_ms(record.published_at.count());
  return message;
}

document_record from_wire(const wire::document_record& message) {
  expect_length(message.record_id(), 1, longest_record_id, "record id");
  expect_length(message.name(), 1, longest_name, "document name");
  expect_length(message.body(), 1, max_document_bytes, "document body");
  expect_length(message.author(), 0, longest_name, "author");
  document_record record;
  record.record_id = message.record_id();
  record.kind = kind_from_wire(message.kind());
  record.name = message.name();
  record.replaces = message.replaces();
  record.based_on = message.based_on();
  record.body = message.body();
  record.author = message.author();
  record.published_at = time_ms{message.published_at_ms()};
  return record;
}

wire::relayed_document to_wire(const relayed_document& document) {
  wire::relayed_document message;
  *message.mutable_record() = to_wire(document.record);
  message.set_offset(document.offset);
  message.set_previous(document.previous);
  message.set_verdict(to_wire(document.verdict));
  message.set_reason(document.reason);
  message.set_repeated_record(document.repeated);
  return message;
}

relayed_document from_wire(const wire::relayed_document& message) {
  expect_length(message.reason(), 0, longest_reason, "reason");
  if (message.previous() >= message.offset())
    refuse("relayed document", "does not come after the record before it");
  relayed_document document;
  document.record = from_wire(message.record());
  document.offset = message.offset();
  document.previous = message.previous();
  document.verdict = verdict_from_wire(message.verdict());
  document.reason = message.reason();
  document.repeated = message.repeated_record();
  return document;
}

wire::document_snapshot to_wire(const document_snapshot& snapshot) {
  wire::document_snapshot message;
  message.set_last_offset(snapshot.last_offset);
  message.set_sequence(snapshot.sequence);
  message.set_fleet_revision(snapshot.fleet_revision);
  message.set_fleet_record_hash(snapshot.fleet_record_hash);
  message.set_fleet_body(snapshot.fleet_body);
  for (const auto& text : snapshot.terms)
    message.add_terms(text);
  add_contracts(snapshot, message);
  for (const auto& outcome : snapshot.outcomes)
    *message.add_outcomes() = to_wire(outcome);
  message.set_digest(snapshot.digest);
  return message;
}

document_snapshot from_wire(const wire::document_snapshot& message) {
  document_snapshot snapshot;
  snapshot.last_offset = message.last_offset();
  snapshot.sequence = message.sequence();
  snapshot.fleet_revision = message.fleet_revision();
  snapshot.fleet_record_hash = message.fleet_record_hash();
  snapshot.fleet_body = message.fleet_body();
  snapshot.terms.assign(message.terms().begin(), message.terms().end());
  snapshot.contracts.reserve(static_cast<std::size_t>(message.contracts_size()));
  for (const auto& one : message.contracts())
    snapshot.contracts.push_back({one.revision(), one.record_hash(), one.terms(), one.identity()});
  for (const auto& outcome : message.outcomes())
    snapshot.outcomes.push_back(outcome_from_wire(outcome));
  snapshot.digest = message.digest();
  return snapshot;
}

std::vector<wire::document_snapshot_part> split_snapshot(const document_snapshot& snapshot,
                                                         std::size_t part_bytes) {
  const std::string bytes = to_wire(snapshot).SerializeAsString();
  const std::size_t count = (bytes.size() + part_bytes - 1) / part_bytes;
  std::vector<wire::document_snapshot_part> parts(count);
  for (std::size_t i = 0; i < count; ++i) {
    parts[i].set_last_offset(snapshot.last_offset);
    parts[i].set_digest(snapshot.digest);
    parts[i].set_index(static_cast<std::uint32_t>(i));
    parts[i].set_count(static_cast<std::uint32_t>(count));
    parts[i].set_slice(bytes.substr(i * part_bytes, part_bytes));
  }
  return parts;
}

std::optional<document_snapshot> snapshot_assembler::add(const wire::document_snapshot_part& part) {
  if (part.count() == 0 || part.count() > most_parts || part.index() >= part.count())
    refuse("snapshot part", "has no place among its parts");
  if (part.last_offset() < last_offset_)
    return std::nullopt;
  const bool same = part.last_offset() == last_offset_ && part.digest() == digest_ &&
                    part.count() == slices_.size();
  if (!same) {
    last_offset_ = part.last_offset();
    digest_ = part.digest();
    slices_.assign(part.count(), std::nullopt);
    missing_ = part.count();
  }
  auto& slice = slices_[part.index()];
  if (!slice)
    --missing_;
  slice = part.slice();
  if (missing_ > 0)
    return std::nullopt;
  std::string bytes;
  for (const auto& one : slices_)
    bytes += *one;
  *this = snapshot_assembler{};
  wire::document_snapshot message;
  if (!message.ParseFromString(bytes))
    refuse("snapshot", "its parts don't make a message");
  return from_wire(message);
}

} // namespace sedgechute
