#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief One part of a prompt. Requests share leading parts; an engine that has read all parts
/// before it need not read a kept part again.
struct prompt_part {
  std::string id;
  std::uint64_t tokens{};
};

/// \brief What a request for a generated answer says of its size.
struct generation_terms {
  std::string model;
  std::uint64_t prompt_tokens{};
  std::uint64_t most_output_tokens{};
  std::vector<prompt_part> parts; ///< in the order of the prompt

  /// \returns the most that the request can cost its team.
  [[nodiscard]] std::uint64_t bound() const noexcept { return prompt_tokens + most_output_tokens; }
};

/// \brief What a caller's header says.
struct request_terms {
  std::string id; ///< of this attempt of the caller
  std::string bearer;
  std::optional<time_ms> patience; ///< how long the caller waits
  std::optional<generation_terms> generation;
  std::optional<std::uint64_t> last_event; ///< the caller resumes behind this event
};

} // namespace sedgechute
