#include "claims/impl/answer_store.hpp"

namespace sedgechute {

namespace {

// Covers the map node, list node, strings and hash table slot of an entry: about 420 bytes.
constexpr std::size_t entry_overhead = 448;

std::size_t size_of(const claim_id& id, const retained_answer& answer) {
  return entry_overhead + 2 * (id.key.size() + id.team.str().size()) + answer.body.size() +
         answer.content_type.size();
}

bool supersedes(const retained_answer& newer, const retained_answer& older) {
  if (newer.complete != older.complete)
    return newer.complete;
  if (newer.attempt != older.attempt)
    return newer.attempt > older.attempt;
  return !newer.complete && newer.position >= older.position;
}

} // namespace

void answer_store::put(const claim_id& id, const retained_answer& answer) {
  const std::size_t bytes = size_of(id, answer);
  if (answer.body.size() > max_body_bytes_ || bytes > capacity_)
    return;
  const auto [place, is_new] = entries_.try_emplace(id);
  entry& stored = place->second;
  if (!is_new && !supersedes(answer, stored.answer))
    return;
  team_share& share = teams_[id.team];
  if (is_new) {
    share.recent.push_front(&place->first);
    stored.place = share.recent.begin();
  }
  charge(id.team, bytes, stored.bytes);
  stored.answer = answer;
  stored.bytes = bytes;
  while (used_ > capacity_)
    evict_one();
}

const retained_answer* answer_store::find(const claim_id& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end())
    return nullptr;
  auto& recent = teams_[id.team].recent;
  recent.splice(recent.begin(), recent, found->second.place);
  return &found->second.answer;
}

void answer_store::charge(const team_id& team, std::size_t added, std::size_t removed) {
  team_share& share = teams_[team];
  teams_by_bytes_.erase({share.bytes, team});
  share.bytes = share.bytes + added - removed;
  used_ = used_ + added - removed;
  if (share.bytes > 0)
    teams_by_bytes_.emplace(share.bytes, team);
}

void answer_store::evict_one() {
  const team_id team = teams_by_bytes_.rbegin()->second;
  team_share& share = teams_[team];
  const claim_id victim = *share.recent.back();
  share.recent.pop_back();
  charge(team, 0, entries_.at(victim).bytes);
  entries_.erase(victim);
  if (share.recent.empty())
    teams_.erase(team);
  ++evicted_;
}

} // namespace sedgechute
