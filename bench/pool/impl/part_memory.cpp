#include "pool/impl/part_memory.hpp"

namespace sedgechute::pool {

bool part_memory::take(std::uint64_t tokens) {
  if (!has_room(tokens))
    return false;
  yield_until(tokens);
  held_ += tokens;
  return true;
}

void part_memory::yield_until(std::uint64_t tokens) {
  while (held_ + yielding_ + tokens > capacity_ && !unused_.empty()) {
    const auto oldest = parts_.find(unused_.front());
    yielding_ -= oldest->second.tokens;
    parts_.erase(oldest);
    unused_.pop_front();
  }
}

void part_memory::use(part_key part) {
  kept& at = parts_.at(part);
  if (++at.users > 1)
    return;
  unused_.erase(at.place);
  yielding_ -= at.tokens;
  held_ += at.tokens;
}

void part_memory::make_part(part_key part, std::uint64_t tokens) {
  const auto known = parts_.find(part);
  if (known == parts_.end()) {
    parts_[part] = {tokens, 1, unused_.end()};
    return;
  }
  held_ -= tokens; // another request has read it meanwhile
  use(part);
}

void part_memory::release(part_key part) {
  kept& at = parts_.at(part);
  if (--at.users > 0)
    return;
  held_ -= at.tokens;
  yielding_ += at.tokens;
  at.place = unused_.insert(unused_.end(), part);
}

void part_memory::store(part_key part, std::uint64_t tokens) {
  if (keeps(part) || !has_room(tokens))
    return;
  yield_until(tokens);
  yielding_ += tokens;
  parts_[part] = {tokens, 0, unused_.insert(unused_.end(), part)};
}

} // namespace sedgechute::pool
