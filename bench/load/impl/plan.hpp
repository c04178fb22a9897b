#pragma once

#include "load/impl/load_call.hpp"

#include <map>

namespace sedgechute::load {

/// \brief What generated calls look like.
struct call_shape {
  std::string team{"-"};
  std::string bearer{};
  std::string class_name{};
  std::string model{"lens-writer"};
  std::int64_t prompt_bytes{400};
  std::int64_t max_tokens{32};
  bool stream{true};
  bool keyed{false};
};

/// \returns a chat call whose prompt is unlike any other's
[[nodiscard]] load_call make_chat_call(const call_shape& shape, std::uint64_t number);

/// \returns so many calls whose arrivals are Poisson with this rate
[[nodiscard]] std::vector<load_call> plan_rate(const call_shape& shape, double per_second,
                                               double seconds, std::uint64_t seed);

using bearer_keys = std::map<std::string, std::string>; ///< by team

/// \brief Reads lines `TEAM KEY`; lines that begin with `#` are skipped.
/// \throws error when the file cannot be read
[[nodiscard]] bearer_keys read_keys(const std::string& path);

/// \brief How a script is played.
struct script_options {
  bearer_keys keys{};
  double per_second{20}; ///< calls are due evenly at this rate
  int repeats{1};        ///< later rounds have prompts and idempotency keys of their own
  std::string salt{};    ///< put before every prompt, so that it is unlike the script's own
  bool chat_only{false}; ///< leave out calls of plain services
};

/// \brief Reads a script of requests, one JSON object a line: `team`, `class`, `method`, `path`,
/// `idempotency_key`, `non_idempotent`, and for chat `model`, `prompt`, `max_tokens`, `stream`, for
/// plain services `body`.
/// \throws error with file, line and reason
[[nodiscard]] std::vector<load_call> read_script(const std::string& path,
                                                 const script_options& options);

} // namespace sedgechute::load
