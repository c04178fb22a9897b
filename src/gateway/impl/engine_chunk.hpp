#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sedgechute {

/// \brief Token counts that an engine reports at the end of a run.
struct token_usage {
  std::uint64_t prompt_tokens{};
  std::uint64_t completion_tokens{};
  std::uint64_t cached_tokens{};

  [[nodiscard]] std::uint64_t total() const noexcept { return prompt_tokens + completion_tokens; }
};

/// \brief What one chunk of an engine's answer holds.
struct engine_chunk {
  std::string content;
  std::string finish_reason; ///< empty until the last chunk
  std::optional<token_usage> usage;
};

/// \returns the chunk, or nothing when the data is not a chunk of the published form.
[[nodiscard]] std::optional<engine_chunk> parse_engine_chunk(const std::string& data);

} // namespace sedgechute
