#include "routing/impl/prefix_table.hpp"

#include <algorithm>
#include <bit>

namespace sedgechute {

namespace {

constexpr std::size_t max_lookups = 40;

} // namespace

prefix_table::prefix_table(std::size_t entries)
    : entries_(std::bit_ceil(std::max(entries, ways))), mask_{entries_.size() / ways - 1} {}

std::size_t prefix_table::set_of(std::uint64_t block) const noexcept {
  return (block & mask_) * ways;
}

const prefix_table::entry* prefix_table::find(std::uint64_t block) const noexcept {
  const std::size_t set = set_of(block);
  for (std::size_t i = set; i < set + ways; ++i)
    if (entries_[i].block == block)
      return &entries_[i];
  return nullptr;
}

prefix_table::entry& prefix_table::find_or_replace(std::uint64_t block) noexcept {
  const auto last_confirmed = [](const entry& e) {
    time_ms last{};
    for (const holder& h : e.holders)
      last = std::max(last, h.confirmed);
    return last;
  };
  const std::size_t set = set_of(block);
  std::size_t oldest = set;
  for (std::size_t i = set; i < set + ways; ++i) {
    if (entries_[i].block == block)
      return entries_[i];
    if (last_confirmed(entries_[i]) < last_confirmed(entries_[oldest]))
      oldest = i;
  }
  entries_[oldest] = entry{};
  entries_[oldest].block = block;
  return entries_[oldest];
}

void prefix_table::learn_one(std::uint64_t block, std::uint32_t endpoint, double confidence,
                             time_ms now) {
  entry& known = find_or_replace(block);
  holder* place = &known.holders.front();
  for (holder& candidate : known.holders) {
    if (candidate.confidence > 0.0F && candidate.endpoint == endpoint) {
      place = &candidate;
      break;
    }
    const bool free = candidate.confidence <= 0.0F;
    if (free || (place->confidence > 0.0F && candidate.confirmed < place->confirmed))
      place = &candidate;
  }
  *place = {endpoint, static_cast<float>(confidence), now};
}

void prefix_table::learn(std::span<const std::uint64_t> blocks, std::uint32_t endpoint,
                         double confidence, time_ms now) {
  std::size_t steps = 0;
  for (std::size_t length = blocks.size(); length > 0 && steps < max_lookups; --length) {
    if (!is_recorded(length))
      continue;
    ++steps;
    learn_one(blocks[length - 1], endpoint, confidence, now);
  }
}

void prefix_table::forget_one(std::uint64_t block, std::uint32_t endpoint) {
  const std::size_t set = set_of(block);
  for (std::size_t i = set; i < set + ways; ++i) {
    if (entries_[i].block != block)
      continue;
    for (holder& h : entries_[i].holders)
      if (h.endpoint == endpoint)
        h = {};
  }
}

std::size_t prefix_table::lookup(std::span<const std::uint64_t> blocks, time_ms now,
                                 std::array<match, max_matches>& found) const {
  std::size_t count = 0;
  std::size_t steps = 0;
  for (std::size_t length = blocks.size(); length > 0 && steps < max_lookups; --length) {
    if (!is_recorded(length))
      continue;
    ++steps;
    const entry* const known = find(blocks[length - 1]);
    if (known == nullptr)
      continue;
    for (const holder& h : known->holders) {
      const auto same = [&h](const match& m) { return m.endpoint == h.endpoint; };
      if (h.confidence <= 0.0F || std::any_of(found.begin(), found.begin() + count, same))
        continue;
      found[count++] = {h.endpoint, static_cast<std::uint32_t>(length), now - h.confirmed,
                        h.confidence};
      if (count == found.size())
        return count;
    }
  }
  return count;
}

} // namespace sedgechute
