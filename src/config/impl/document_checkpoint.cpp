// Checkpoints of the documents: whole, and in parts that are read while records go on.

#include "config/impl/document_store.hpp"

#include <utility>

namespace sedgechute {
namespace {

/// Contracts with long lists are few in a part.
constexpr std::size_t most_part_bytes = std::size_t{192} << 10U;

[[noreturn]] void refuse(const std::string& why) {
  throw error{error_kind::invalid_document, "checkpoint", why};
}

} // namespace

document_snapshot document_store::snapshot() const {
  document_snapshot taken;
  taken.last_offset = last_offset_;
  taken.sequence = sequence_;
  if (fleet_ != nullptr) {
    taken.fleet_revision = fleet_->revision;
    taken.fleet_record_hash = fleet_record_hash_;
    taken.fleet_body = to_text(fleet_settings_table().write(fleet_->value));
  }
  taken.terms = contracts_.terms_texts();
  taken.contracts = contracts_.packed();
  for (const auto& outcome : outcomes_.all())
    taken.outcomes.push_back(*outcome);
  taken.digest = digest();
  return taken;
}

cut_number document_store::open_cut() {
  document_cut& cut = cuts_[++last_cut_];
  cut.head.last_offset = last_offset_;
  cut.head.sequence = sequence_;
  cut.head.digest = digest();
  if (fleet_ != nullptr) {
    cut.head.fleet_revision = fleet_->revision;
    cut.head.fleet_record_hash = fleet_record_hash_;
    cut.head.fleet_body = to_text(fleet_settings_table().write(fleet_->value));
  }
  cut.head.terms = contracts_.terms_texts();
  cut.contracts = static_cast<std::uint32_t>(contracts_.size());
  cut.outcomes = outcomes_.all();
  return last_cut_;
}

void document_store::close_cut(cut_number cut) {
  cuts_.erase(cut);
}

// Called before a contract is replaced. Its terms keep their number in the cut's own list.
void document_store::keep_image(std::string_view team) {
  const auto position = contracts_.position_of(team);
  if (!position)
    return;
  for (auto& [number, cut] : cuts_)
    if (*position >= cut.next && *position < cut.contracts)
      cut.images.try_emplace(*position, contracts_.packed()[*position]);
}

std::optional<document_snapshot> document_store::next_part(cut_number number, std::size_t most) {
  const auto found = cuts_.find(number);
  if (found == cuts_.end())
    throw error{error_kind::internal, "checkpoint", "the documents were replaced meanwhile"};
  document_cut& cut = found->second;
  if (cut.finished)
    return std::nullopt;
  document_snapshot part;
  part.last_offset = cut.head.last_offset;
  part.sequence = cut.head.sequence;
  part.digest = cut.head.digest;
  part.fleet_revision = std::exchange(cut.head.fleet_revision, 0);
  part.fleet_record_hash = cut.head.fleet_record_hash;
  part.fleet_body = std::exchange(cut.head.fleet_body, {});
  part.terms = std::exchange(cut.head.terms, {});
  std::size_t bytes = 0;
  while (cut.next < cut.contracts && part.contracts.size() < most && bytes < most_part_bytes) {
    const auto kept = cut.images.find(cut.next);
    part.contracts.push_back(kept == cut.images.end() ? contracts_.packed()[cut.next]
                                                      : kept->second);
    cut.images.erase(cut.next++);
    bytes += part.contracts.back().identity.size();
  }
  while (cut.next == cut.contracts && cut.next_outcome < cut.outcomes.size() &&
         part.contracts.size() + part.outcomes.size() < most)
    part.outcomes.push_back(*std::exchange(cut.outcomes[cut.next_outcome++], nullptr));
  cut.finished = cut.next == cut.contracts && cut.next_outcome == cut.outcomes.size();
  return part;
}

void document_store::require_newer(std::uint64_t last_offset) const {
  if (last_offset < last_offset_)
    refuse("ends at " + std::to_string(last_offset) + ", before " + std::to_string(last_offset_) +
           ", which is in force here");
}

void document_store::restore(const document_snapshot& snapshot) {
  require_newer(snapshot.last_offset);
  document_store filled{outcomes_.size()};
  filled.add_part(snapshot);
  take_over(std::move(filled));
}

void document_store::add_part(const document_snapshot& part) {
  contracts_.add_terms(part.terms);
  contracts_.add_packed(part.contracts);
  if (part.fleet_revision != 0) {
    auto read = check_fleet_settings("checkpoint", part.fleet_body);
    if (!read)
      refuse(to_text(read.problems));
    fleet_ = std::make_shared<const revised<fleet_settings>>(
        revised<fleet_settings>{part.fleet_revision, std::move(*read.value)});
    fleet_record_hash_ = part.fleet_record_hash;
  }
  for (const publish_outcome& outcome : part.outcomes)
    outcomes_.add(outcome);
  tail_.start_after(part.last_offset);
  last_offset_ = part.last_offset;
  sequence_ = part.sequence;
  stated_digest_ = part.digest;
}

void document_store::take_over(document_store filled) {
  require_newer(filled.last_offset_);
  if (filled.digest() != filled.stated_digest_)
    refuse("its digest doesn't fit its content");
  filled.last_cut_ = last_cut_;
  *this = std::move(filled);
}

} // namespace sedgechute
