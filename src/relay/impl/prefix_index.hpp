#pragma once

#include "relay/impl/peer_load_table.hpp"
#include "relay/impl/request_terms.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief A prefix of a prompt that other prompts may share.
struct prompt_prefix {
  std::uint64_t hash{};   ///< of the model and the parts of the prefix
  std::uint64_t tokens{}; ///< length of the prefix
};

/// \returns the prefixes that other prompts may share, the longest last. The last part of a prompt
/// is taken as its own, so no prefix contains it.
[[nodiscard]] std::vector<prompt_prefix> shared_prefixes(const generation_terms& generation);

/// \brief Records which endpoints have recently read which prompt prefixes. Not thread-safe.
class prefix_index {
 public:
  /// \param kept_for  time after which an unused prefix counts as evicted: engines evict the least
  ///   recently used parts
  explicit prefix_index(time_ms kept_for) : kept_for_{kept_for} {}

  void note(const prefix_location& location, time_ms now);
  /// \returns the length in tokens of the longest of `prefixes` that the endpoint has cached
  [[nodiscard]] std::uint64_t tokens_at(const std::vector<prompt_prefix>& prefixes,
                                        endpoint_hash endpoint, time_ms now) const;
  /// \brief Removes expired entries; at most once every two seconds.
  void remove_expired(time_ms now);
  [[nodiscard]] std::size_t size() const noexcept { return seen_.size(); }

 private:
  struct seen_at {
    endpoint_hash endpoint{};
    time_ms at;
  };

  time_ms kept_for_;
  time_ms last_scan_;
  std::unordered_map<std::uint64_t, std::vector<seen_at>> seen_;
};

} // namespace sedgechute
