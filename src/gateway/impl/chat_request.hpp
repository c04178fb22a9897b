#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Bounds on what a caller may send.
struct chat_limits {
  std::size_t body_bytes{4U << 20U};
  std::size_t json_depth{32};
  std::size_t messages{4096};
  std::uint64_t default_output_tokens{1024};
  std::uint64_t max_output_tokens{32768};
};

/// \brief A checked chat completion request.
struct chat_request {
  model_id model;
  bool stream{false};
  std::uint64_t max_tokens{};               ///< output bound given to the engine
  bool bound_stated{false};                 ///< by the caller; else it is the default
  std::uint64_t prompt_bound{};             ///< upper bound on the prompt's tokens
  std::uint64_t fingerprint{};              ///< stable hash of model, prompt and stated bound
  std::vector<std::uint64_t> prefix_blocks; ///< chained hashes of the prompt's whole blocks
  std::string engine_body;                  ///< what is sent to the engine: always a stream

  /// \returns the most tokens that the request can cost.
  [[nodiscard]] std::uint64_t token_bound() const noexcept { return prompt_bound + max_tokens; }
};

/// \brief Parses and checks a body of `POST /v1/chat/completions`.
/// \throws error `payload_too_large`, `bad_encoding`, `malformed_json` or `invalid_parameter`,
/// with the JSON pointer of the field concerned
[[nodiscard]] chat_request parse_chat_request(const std::string& body, const chat_limits& limits);

} // namespace sedgechute
