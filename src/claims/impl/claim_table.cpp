#include "claims/impl/claim_table.hpp"

#include <algorithm>
#include <iterator>

namespace sedgechute {

claim_table::~claim_table() {
  while (!claims_.empty())
    erase(claims_.begin());
}

claim_table::claims::const_iterator claim_table::locate(const claim_id& id) const {
  const std::uint32_t* team = pool_->teams.find(id.team);
  if (team == nullptr)
    return claims_.end();
  const auto [first, last] = claims_.equal_range(stored_key_of(id.key));
  const auto found =
      std::find_if(first, last, [&](const auto& item) { return item.second.team == *team; });
  return found == last ? claims_.end() : found;
}

std::optional<stored_claim> claim_table::find(const claim_id& id) const {
  stored_claim stored;
  const auto proposed = proposals_.find(id);
  if (proposed != proposals_.end())
    stored.proposed = proposed->second.wanted.next;
  const auto committed = locate(id);
  if (committed != claims_.end())
    stored.committed = unpack(committed->second, id.key, *pool_);
  if (!stored.proposed && !stored.committed)
    return std::nullopt;
  return stored;
}

void claim_table::store(time_ms now, const claim& subject) {
  const auto place = locate(subject.id);
  if (place != claims_.end())
    erase(place);
  packed_claim packed = pack(subject, now, *pool_);
  if (pool_->claims_by_team.size() <= packed.team)
    pool_->claims_by_team.resize(packed.team + 1);
  ++pool_->claims_by_team[packed.team];
  ++pool_->claims;
  claims_.emplace(stored_key_of(subject.id.key), std::move(packed));
}

void claim_table::erase(claims::const_iterator place) {
  --pool_->claims_by_team[place->second.team];
  --pool_->claims;
  claims_.erase(place);
}

bool claim_table::merge(time_ms now, const claim& subject) {
  const auto place = locate(subject.id);
  if (place != claims_.end()) {
    const claim known = unpack(place->second, subject.id.key, *pool_);
    if (!is_later(subject, known))
      return known == subject;
  }
  store(now, subject);
  return true;
}

void claim_table::merge_recovered(time_ms now, const claim& subject) {
  withdraw(subject.id);
  const auto place = locate(subject.id);
  if (place == claims_.end())
    store(now, subject);
  else
    store(now, merge_forked(subject, unpack(place->second, subject.id.key, *pool_)));
}

void claim_table::assume_all_may_have_run() {
  for (auto& [key, packed] : claims_)
    packed = pack(assume_may_have_run(unpack(packed, {}, *pool_)), touched_at(packed), *pool_);
}

std::vector<claim> claim_table::committed() const {
  std::vector<claim> all;
  all.reserve(claims_.size());
  for (const auto& [key, packed] : claims_)
    all.push_back(unpack(packed, text_of(key), *pool_));
  return all;
}

void claim_table::propose(time_ms now, const claim& next, std::uint64_t serial) {
  withdraw(next.id);
  proposals_[next.id] = {{next, serial}, now};
  proposal_ids_[serial] = next.id;
}

void claim_table::withdraw(const claim_id& id) {
  const auto found = proposals_.find(id);
  if (found == proposals_.end())
    return;
  proposal_ids_.erase(found->second.wanted.serial);
  proposals_.erase(found);
}

void claim_table::withdraw_all() {
  proposals_.clear();
  proposal_ids_.clear();
}

const claim* claim_table::proposed(std::uint64_t serial) const {
  const auto found = proposal_ids_.find(serial);
  return found == proposal_ids_.end() ? nullptr : &proposals_.at(found->second).wanted.next;
}

std::vector<proposed_claim> claim_table::due_proposals(time_ms now, time_ms interval) {
  std::vector<proposed_claim> due;
  for (auto& [id, waiting] : proposals_) {
    if (now - waiting.asked < interval)
      continue;
    waiting.asked = now;
    due.push_back(waiting.wanted);
  }
  return due;
}

bool claim_table::is_proposed(const stored_key& key) const {
  return std::any_of(proposals_.begin(), proposals_.end(),
                     [&](const auto& item) { return stored_key_of(item.first.key) == key; });
}

// Incremental, because a pass over all of a large table would delay every request of the host.
void claim_table::sweep(std::size_t parts, const expiry_predicate& over) {
  const std::size_t buckets = claims_.bucket_count();
  std::vector<stored_key> forgotten;
  for (std::size_t left = buckets / parts + 1; left > 0; --left) {
    next_bucket_ = next_bucket_ + 1 < buckets ? next_bucket_ + 1 : 0;
    for (auto it = claims_.begin(next_bucket_); it != claims_.end(next_bucket_); ++it)
      if (over(it->first, it->second) && !is_proposed(it->first))
        forgotten.push_back(it->first);
  }
  for (const stored_key& key : forgotten)
    for (auto [place, last] = claims_.equal_range(key); place != last;) {
      const auto next = std::next(place);
      if (over(place->first, place->second))
        erase(place);
      place = next;
    }
}

} // namespace sedgechute
