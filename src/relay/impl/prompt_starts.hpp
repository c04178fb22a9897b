#pragma once

#include "relay/impl/load_board.hpp"
#include "relay/impl/request_terms.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief One start of a prompt that other prompts may share.
struct prompt_start {
  std::uint64_t hash{};   ///< of the model and the parts up to here
  std::uint64_t tokens{}; ///< from the prompt's beginning up to here
};

/// \returns the starts that other prompts may share, the longest last: all parts but the last
/// belong to several
[[nodiscard]] std::vector<prompt_start> shared_starts(const generation_terms& generation);

/// \brief Which endpoints have read which starts of prompts lately. Pure; not thread-safe.
class prompt_starts {
 public:
  /// \param kept_for  an engine drops the parts used longest ago; a sighting counts for so long
  explicit prompt_starts(time_ms kept_for) : kept_for_{kept_for} {}

  void note(const start_sighting& sighting, time_ms now);
  /// \returns tokens of the longest of `starts` that the endpoint has read
  [[nodiscard]] std::uint64_t tokens_at(const std::vector<prompt_start>& starts,
                                        endpoint_hash endpoint, time_ms now) const;
  /// \brief Forgets what has not been seen for long.
  void forget_old(time_ms now);
  [[nodiscard]] std::size_t size() const noexcept { return seen_.size(); }

 private:
  struct seen_at {
    endpoint_hash endpoint{};
    time_ms at;
  };

  time_ms kept_for_;
  time_ms forgot_at_;
  std::unordered_map<std::uint64_t, std::vector<seen_at>> seen_;
};

} // namespace sedgechute
