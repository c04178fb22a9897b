#include "relay/impl/prefix_index.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr time_ms scan_interval{2000}; // between two scans of the whole table

} // namespace

std::vector<prompt_prefix> shared_prefixes(const generation_terms& generation) {
  std::vector<prompt_prefix> prefixes;
  prompt_prefix at{stable_hash(generation.model), 0};
  for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i) {
    at.hash = mix_hash(at.hash, stable_hash(generation.parts[i].id));
    at.tokens += generation.parts[i].tokens;
    prefixes.push_back(at);
  }
  return prefixes;
}

void prefix_index::note(const prefix_location& location, time_ms now) {
  std::vector<seen_at>& at = seen_[location.prefix];
  const auto known = std::find_if(
      at.begin(), at.end(), [&](const auto& other) { return other.endpoint == location.endpoint; });
  if (known != at.end())
    known->at = now;
  else
    at.push_back({location.endpoint, now});
}

std::uint64_t prefix_index::tokens_at(const std::vector<prompt_prefix>& prefixes,
                                      endpoint_hash endpoint, time_ms now) const {
  for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
    const auto found = seen_.find(prefix->hash);
    if (found == seen_.end())
      continue;
    const bool read = std::any_of(found->second.begin(), found->second.end(), [&](const auto& one) {
      return one.endpoint == endpoint && now - one.at <= kept_for_;
    });
    if (read)
      return prefix->tokens;
  }
  return 0;
}

void prefix_index::remove_expired(time_ms now) {
  if (now - last_scan_ < scan_interval)
    return;
  last_scan_ = now;
  for (auto at = seen_.begin(); at != seen_.end();) {
    std::erase_if(at->second, [&](const auto& one) { return now - one.at > kept_for_; });
    at = at->second.empty() ? seen_.erase(at) : std::next(at);
  }
}

} // namespace sedgechute
