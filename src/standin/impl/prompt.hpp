#pragma once

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>
#include <vector>

namespace sedgechute::standin {

/// \brief What an engine reads from a completion request.
struct prompt {
  std::string model;
  std::string fingerprint;           ///< 16 hex digits of the text's hash
  std::vector<std::uint64_t> blocks; ///< chained hashes of its whole prefix blocks
  std::int64_t tokens{0};
  std::int64_t max_tokens{0}; ///< 0: as many as the answer has
  bool streamed{false};
};

inline constexpr std::size_t block_bytes = 1024;
inline constexpr std::int64_t bytes_per_token = 4;

/// \returns each message as `role\ncontent\n`, joined
[[nodiscard]] std::string prompt_text(const Poco::JSON::Object& request);

/// \throws Poco::Exception when a member is missing or has the wrong type
[[nodiscard]] prompt read_prompt(const Poco::JSON::Object& request);

[[nodiscard]] std::vector<std::uint64_t> prefix_blocks(const std::string& text);

/// \returns 16 hex digits
[[nodiscard]] std::string hex16(std::uint64_t value);

/// \returns token `index` (from 1) of the answer to the prompt with this fingerprint
[[nodiscard]] std::string answer_token(const std::string& fingerprint, std::int64_t index);

} // namespace sedgechute::standin
