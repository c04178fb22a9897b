#include "relay/impl/prompt_starts.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr time_ms forget_interval{2000}; // between two scans of the whole table

} // namespace

std::vector<prompt_start> shared_starts(const generation_terms& generation) {
  std::vector<prompt_start> starts;
  prompt_start at{stable_hash(generation.model), 0};
  for (std::size_t i = 0; i + 1 < generation.parts.size(); ++i) {
    at.hash = mix_hash(at.hash, stable_hash(generation.parts[i].id));
    at.tokens += generation.parts[i].tokens;
    starts.push_back(at);
  }
  return starts;
}

void prompt_starts::note(const start_sighting& sighting, time_ms now) {
  std::vector<seen_at>& at = seen_[sighting.start];
  const auto known = std::find_if(
      at.begin(), at.end(), [&](const auto& other) { return other.endpoint == sighting.endpoint; });
  if (known != at.end())
    known->at = now;
  else
    at.push_back({sighting.endpoint, now});
}

std::uint64_t prompt_starts::tokens_at(const std::vector<prompt_start>& starts,
                                       endpoint_hash endpoint, time_ms now) const {
  for (auto start = starts.rbegin(); start != starts.rend(); ++start) {
    const auto found = seen_.find(start->hash);
    if (found == seen_.end())
      continue;
    const bool read = std::any_of(found->second.begin(), found->second.end(), [&](const auto& one) {
      return one.endpoint == endpoint && now - one.at <= kept_for_;
    });
    if (read)
      return start->tokens;
  }
  return 0;
}

void prompt_starts::forget_old(time_ms now) {
  if (now - forgot_at_ < forget_interval)
    return;
  forgot_at_ = now;
  for (auto at = seen_.begin(); at != seen_.end();) {
    std::erase_if(at->second, [&](const auto& one) { return now - one.at > kept_for_; });
    at = at->second.empty() ? seen_.erase(at) : std::next(at);
  }
}

} // namespace sedgechute
