#include "kernel/impl/hashing.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

// FNV-1a alone spreads short keys poorly in its high bits; the finalizer of SplitMix64 repairs
// that.
constexpr std::uint64_t finalize(std::uint64_t x) noexcept {
  x ^= x >> 30U;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27U;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

} // namespace

std::uint64_t stable_hash(std::string_view text) noexcept {
  std::uint64_t hash = fnv_offset;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= fnv_prime;
  }
  return finalize(hash);
}

std::uint64_t mix_hash(std::uint64_t a, std::uint64_t b) noexcept {
  return finalize(a * fnv_prime + b);
}

std::vector<host_id> rendezvous(std::string_view key, std::span<const host_id> hosts,
                                std::size_t count) {
  const std::uint64_t key_hash = stable_hash(key);
  std::vector<std::pair<std::uint64_t, const host_id*>> weighted;
  weighted.reserve(hosts.size());
  for (const host_id& host : hosts)
    weighted.emplace_back(mix_hash(key_hash, stable_hash(host.str())), &host);
  const std::size_t wanted = std::min(count, weighted.size());
  const auto heavier = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : *a.second < *b.second;
  };
  std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(wanted),
                    weighted.end(), heavier);
  std::vector<host_id> best;
  best.reserve(wanted);
  for (std::size_t i = 0; i < wanted; ++i)
    best.push_back(*weighted[i].second);
  return best;
}

} // namespace sedgechute
