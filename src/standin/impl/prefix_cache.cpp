#include "standin/impl/prefix_cache.hpp"

#include "standin/impl/prompt.hpp"

namespace sedgechute::standin {

namespace {

constexpr std::size_t most_events = 4096;
constexpr std::uint64_t lost_every = 17; ///< every so many-th event is never published

} // namespace

std::size_t prefix_cache::use(const std::vector<std::uint64_t>& blocks, std::int64_t now_ms) {
  std::size_t hits = 0;
  while (hits < blocks.size() && where_.contains(blocks[hits]))
    ++hits;
  for (const std::uint64_t block : blocks)
    store(block, now_ms);
  return hits;
}

void prefix_cache::store(std::uint64_t block, std::int64_t now_ms) {
  if (const auto found = where_.find(block); found != where_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return;
  }
  recent_.push_front(block);
  where_[block] = recent_.begin();
  note(event_kind::stored, block, now_ms);
  while (where_.size() > most_blocks_) {
    const std::uint64_t oldest = recent_.back();
    recent_.pop_back();
    where_.erase(oldest);
    note(event_kind::evicted, oldest, now_ms);
  }
}

void prefix_cache::note(event_kind kind, std::uint64_t block, std::int64_t now_ms) {
  const std::uint64_t seq = next_seq_++;
  if (seq % lost_every == 0)
    return;
  events_.push_back({seq, kind, block, now_ms});
  if (events_.size() > most_events)
    events_.pop_front();
}

std::string prefix_cache::events_after(std::uint64_t after, std::int64_t now_ms,
                                       std::int64_t delay_ms) const {
  std::string list;
  std::uint64_t last = after;
  for (const event& happened : events_) {
    if (happened.seq <= after)
      continue;
    if (happened.at_ms + delay_ms > now_ms)
      break;
    last = happened.seq;
    list += list.empty() ? "" : ",";
    list += "{\"seq\":" + std::to_string(happened.seq) + ",\"kind\":\"" +
            (happened.kind == event_kind::stored ? "stored" : "evicted") + "\",\"prefix\":\"" +
            hex16(happened.block) +
            "\",\"tokens\":" + std::to_string(block_bytes / bytes_per_token) + "}";
  }
  return "{\"next\":" + std::to_string(last) + ",\"events\":[" + list + "]}";
}

void prefix_cache::clear() {
  while (!recent_.empty()) {
    where_.erase(recent_.back());
    recent_.pop_back();
  }
}

} // namespace sedgechute::standin
