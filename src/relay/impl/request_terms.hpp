#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief One part of a prompt. Requests share leading parts; an engine that has cached a part and
/// all parts before it need not prefill it again.
struct prompt_part {
  std::string id;
  std::uint64_t tokens{};
};

/// \brief Model, prompt and maximum output of a request for generated text.
struct generation_terms {
  std::string model;
  std::uint64_t prompt_tokens{};
  std::uint64_t most_output_tokens{};
  std::vector<prompt_part> parts; ///< in the order of the prompt

  /// \returns the maximum number of tokens that the request can cost
  [[nodiscard]] std::uint64_t bound() const noexcept { return prompt_tokens + most_output_tokens; }
};

/// \brief Values from a caller's request header.
struct request_terms {
  std::string id; ///< differs for each attempt of the caller
  std::string bearer;
  std::optional<time_ms> patience; ///< how long the caller waits for the answer
  std::optional<generation_terms> generation;
  std::optional<std::uint64_t> last_event; ///< the caller resumes a stream after this event
  std::optional<std::string> resumes; ///< id of the caller's attempt that brought its first event
};

} // namespace sedgechute
