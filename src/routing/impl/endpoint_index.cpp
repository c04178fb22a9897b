#include "routing/impl/endpoint_index.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::uint64_t places_per_member = 12;

std::uint64_t key_of(std::uint64_t pool, std::uint64_t capability) noexcept {
  return mix_hash(pool, capability);
}

} // namespace

std::uint32_t endpoint_index::bucket::home_of(std::uint64_t key) const noexcept {
  const auto next = std::ranges::lower_bound(ring_, key, {}, &point::place);
  return next == ring_.end() ? ring_.front().member : next->member;
}

const endpoint_index::bucket* endpoint_index::group::in(std::uint32_t data_centre) const noexcept {
  const auto found = std::ranges::find(buckets, data_centre, &bucket::data_centre);
  return found == buckets.end() ? nullptr : &*found;
}

void endpoint_index::add_to(group& members, std::uint32_t slot, std::uint64_t identity,
                            std::uint32_t data_centre) {
  auto place = std::ranges::find(members.buckets, data_centre, &bucket::data_centre);
  if (place == members.buckets.end()) {
    members.buckets.emplace_back();
    place = std::prev(members.buckets.end());
    place->data_centre = data_centre;
  }
  place->members.push_back(slot);
  ++members.size;
  for (std::uint64_t i = 0; i < places_per_member; ++i) {
    const bucket::point added{mix_hash(identity, i), slot};
    const auto before =
        std::ranges::lower_bound(place->ring_, added.place, {}, &bucket::point::place);
    place->ring_.insert(before, added);
  }
}

void endpoint_index::add(std::uint32_t slot, std::uint64_t identity, std::uint64_t pool,
                         std::span<const std::uint64_t> capabilities, std::uint32_t data_centre) {
  add_to(groups_[key_of(pool, 0)], slot, identity, data_centre);
  for (const std::uint64_t capability : capabilities)
    add_to(groups_[key_of(pool, capability)], slot, identity, data_centre);
}

void endpoint_index::remove(std::uint32_t slot, std::uint64_t pool,
                            std::span<const std::uint64_t> capabilities,
                            std::uint32_t data_centre) {
  const auto remove_from = [&](std::uint64_t capability) {
    const auto found = groups_.find(key_of(pool, capability));
    if (found == groups_.end())
      return;
    group& members = found->second;
    const auto place = std::ranges::find(members.buckets, data_centre, &bucket::data_centre);
    if (place == members.buckets.end())
      return;
    members.size -= std::erase(place->members, slot);
    std::erase_if(place->ring_, [slot](const bucket::point& p) { return p.member == slot; });
    if (place->members.empty())
      members.buckets.erase(place);
    if (members.buckets.empty())
      groups_.erase(found);
  };
  remove_from(0);
  for (const std::uint64_t capability : capabilities)
    remove_from(capability);
}

const endpoint_index::group* endpoint_index::find(std::uint64_t pool,
                                                  std::uint64_t capability) const noexcept {
  const auto found = groups_.find(key_of(pool, capability));
  return found == groups_.end() ? nullptr : &found->second;
}

} // namespace sedgechute
