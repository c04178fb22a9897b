#include "replica.hpp"

namespace sedgechute::bench {

std::uint32_t block_cache::hits(const std::vector<std::uint64_t>& blocks) const {
  std::uint32_t count = 0;
  for (const std::uint64_t block : blocks) {
    if (!places_.contains(block))
      break;
    ++count;
  }
  return count;
}

void block_cache::clear() {
  order_.clear();
  places_.clear();
}

double replica::pace_ms() const noexcept {
  const double occupied = static_cast<double>(running) / speed.places;
  return (speed.pace_ms + (speed.crowded_pace_ms - speed.pace_ms) * occupied) * slow_factor;
}

load_report replica::report() const {
  load_report r;
  r.running = running;
  r.waiting = static_cast<std::uint32_t>(waiting.size());
  r.max_running = speed.places;
  r.prompt_tokens_per_s = speed.read_per_ms * 1000.0;
  r.tokens_per_s = speed.places / speed.crowded_pace_ms * 1000.0;
  return r;
}

} // namespace sedgechute::bench
