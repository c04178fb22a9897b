#include "config/impl/contract_set.hpp"

#include "config/impl/bearer_key.hpp"
#include "config/impl/contract_identity.hpp"

namespace sedgechute {
namespace {

/// Unpacked contracts kept. 830 teams are in steady use; the rest is unpacked when asked for.
constexpr std::size_t most_unpacked = 4096;

[[nodiscard]] std::uint64_t digest_of(const packed_contract& packed, std::string_view terms) {
  std::uint64_t hash = stable_hash(packed.identity);
  hash = mix_hash(hash, stable_hash(terms));
  hash = mix_hash(hash, packed.revision);
  return mix_hash(hash, packed.record_hash);
}

[[nodiscard]] std::int64_t active_share(const contract& agreed) noexcept {
  return agreed.status == contract_status::active ? agreed.share : 0;
}

} // namespace

const packed_contract* contract_set::packed_of(std::string_view team) const noexcept {
  const auto found = by_team_.find(stable_hash(team));
  return found == by_team_.end() ? nullptr : &contracts_[found->second];
}

document_revision contract_set::revision_of(std::string_view team) const noexcept {
  const auto* packed = packed_of(team);
  return packed == nullptr ? 0 : packed->revision;
}

std::uint64_t contract_set::record_hash_of(std::string_view team) const noexcept {
  const auto* packed = packed_of(team);
  return packed == nullptr ? 0 : packed->record_hash;
}

contract contract_set::unpack(const packed_contract& packed) const {
  contract agreed = terms_[packed.terms].value;
  unpack_identity(packed.identity, agreed);
  return agreed;
}

contract_ptr contract_set::load(std::uint32_t index) {
  const auto kept = unpacked_.find(index);
  if (kept != unpacked_.end())
    return kept->second;
  if (unpacked_.size() >= most_unpacked)
    unpacked_.clear();
  const packed_contract& packed = contracts_[index];
  auto loaded =
      std::make_shared<const revised<contract>>(revised<contract>{packed.revision, unpack(packed)});
  unpacked_.emplace(index, loaded);
  return loaded;
}

contract_ptr contract_set::find(std::string_view team) {
  const auto found = by_team_.find(stable_hash(team));
  if (found == by_team_.end())
    return nullptr;
  contract_ptr loaded = load(found->second);
  return loaded->value.team.str() == team ? loaded : nullptr;
}

contract_ptr contract_set::authenticate(std::string_view bearer) {
  const auto id = key_id_of(bearer);
  const auto found = id ? by_key_id_.find(stable_hash(*id)) : by_key_id_.end();
  if (found == by_key_id_.end()) {
    match_nothing(bearer);
    return nullptr;
  }
  contract_ptr loaded = load(found->second);
  for (const auto& key : loaded->value.keys)
    if (key.id == *id && matches(bearer, key))
      return loaded;
  return nullptr;
}

std::uint32_t contract_set::take_terms(const contract& agreed) {
  contract terms = terms_of(agreed);
  std::string text = to_text(contract_table().write(terms));
  const auto known = terms_by_text_.find(text);
  if (known != terms_by_text_.end())
    return known->second;
  std::uint32_t number = static_cast<std::uint32_t>(terms_.size());
  if (free_terms_.empty()) {
    terms_.emplace_back();
  } else {
    number = free_terms_.back();
    free_terms_.pop_back();
  }
  terms_by_text_.emplace(text, number);
  terms_[number] = {std::move(terms), std::move(text), 0, 0};
  return number;
}

void contract_set::count_in(std::uint32_t index, const contract& agreed) {
  const packed_contract& packed = contracts_[index];
  shared_terms& terms = terms_[packed.terms];
  ++terms.uses;
  terms.active_uses += agreed.status == contract_status::active ? 1 : 0;
  share_sum_ += active_share(agreed);
  for (const auto& key : agreed.keys)
    by_key_id_[stable_hash(key.id)] = index;
  digest_ ^= digest_of(packed, terms.text);
}

void contract_set::count_out(std::uint32_t index) {
  const packed_contract& packed = contracts_[index];
  const contract agreed = unpack(packed);
  shared_terms& terms = terms_[packed.terms];
  digest_ ^= digest_of(packed, terms.text);
  for (const auto& key : agreed.keys)
    by_key_id_.erase(stable_hash(key.id));
  share_sum_ -= active_share(agreed);
  terms.active_uses -= agreed.status == contract_status::active ? 1 : 0;
  if (--terms.uses > 0)
    return;
  terms_by_text_.erase(terms.text);
  terms = {};
  free_terms_.push_back(packed.terms);
}

void contract_set::put(document_revision revision, std::uint64_t record_hash,
                       const contract& agreed) {
  const std::uint64_t team_hash = stable_hash(agreed.team.str());
  const auto [place, added] =
      by_team_.try_emplace(team_hash, static_cast<std::uint32_t>(contracts_.size()));
  const std::uint32_t index = place->second;
  if (added)
    contracts_.emplace_back();
  else
    count_out(index);
  unpacked_.erase(index);
  const std::uint32_t terms = take_terms(agreed);
  contracts_[index] = {revision, record_hash, terms, pack_identity(agreed)};
  contracts_[index].identity.shrink_to_fit();
  count_in(index, agreed);
}

std::string contract_set::clash(const contract& agreed) const {
  const std::uint64_t team_hash = stable_hash(agreed.team.str());
  const auto own = by_team_.find(team_hash);
  // Teams and key ids are found by 64-bit hash. Two names of one hash would be taken for each
  // other, so the later one is refused; with random names that never happens.
  if (own != by_team_.end() && unpack(contracts_[own->second]).team != agreed.team)
    return "/team: the name cannot be told from another team's; choose another";
  for (std::size_t i = 0; i < agreed.keys.size(); ++i) {
    const auto holder = by_key_id_.find(stable_hash(agreed.keys[i].id));
    const bool own_key =
        own != by_team_.end() && holder != by_key_id_.end() && holder->second == own->second;
    if (holder != by_key_id_.end() && !own_key)
      return "/keys/" + std::to_string(i) + "/id: \"" + agreed.keys[i].id +
             "\" is the key id of another team";
  }
  return {};
}

std::int64_t contract_set::share_sum_with(const contract& agreed) const {
  std::int64_t sum = share_sum_ + active_share(agreed);
  if (const auto* former = packed_of(agreed.team.str()))
    sum -= active_share(unpack(*former));
  return sum;
}

void contract_set::for_each_terms(const std::function<void(const contract&)>& visit) const {
  for (const auto& terms : terms_)
    if (terms.active_uses > 0)
      visit(terms.value);
}

void contract_set::for_each_team(
    const std::function<void(const team_id&, document_revision)>& visit) const {
  for (const auto& packed : contracts_)
    visit(unpack(packed).team, packed.revision);
}

std::vector<std::string> contract_set::terms_texts() const {
  std::vector<std::string> texts;
  for (const auto& terms : terms_)
    texts.push_back(terms.uses > 0 ? terms.text : std::string{});
  return texts;
}

std::optional<std::uint32_t> contract_set::position_of(std::string_view team) const noexcept {
  const auto found = by_team_.find(stable_hash(team));
  return found == by_team_.end() ? std::nullopt : std::optional{found->second};
}

void contract_set::add_terms(const std::vector<std::string>& texts) {
  for (const auto& text : texts) {
    contract value;
    if (!text.empty()) {
      auto read = check_contract("checkpoint", text);
      if (!read)
        throw error{error_kind::invalid_document, "checkpoint", to_text(read.problems)};
      value = std::move(*read.value);
    }
    if (text.empty())
      free_terms_.push_back(static_cast<std::uint32_t>(terms_.size()));
    else
      terms_by_text_.emplace(text, static_cast<std::uint32_t>(terms_.size()));
    terms_.push_back({std::move(value), text, 0, 0});
  }
}

void contract_set::add_packed(const std::vector<packed_contract>& contracts) {
  for (const packed_contract& given : contracts) {
    if (given.terms >= terms_.size())
      throw error{error_kind::invalid_document, "checkpoint", "names terms that it does not have"};
    const contract agreed = unpack(given);
    const auto index = static_cast<std::uint32_t>(contracts_.size());
    contracts_.push_back(given);
    by_team_[stable_hash(agreed.team.str())] = index;
    count_in(index, agreed);
  }
}

} // namespace sedgechute
