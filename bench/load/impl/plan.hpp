#pragma once

#include "load/impl/load_call.hpp"

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

/// \brief Reads a script of requests, one JSON object a line:
/// `{"at_ms","team","key","class","method","path","body","idempotency_key","idempotent"}`.
/// `path` is `/v1/chat/completions` unless given, `key` the team's bearer key.
/// \throws error with file, line and reason
[[nodiscard]] std::vector<load_call> read_script(const std::string& path);

} // namespace sedgechute::load
