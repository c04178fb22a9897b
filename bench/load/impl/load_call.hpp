#pragma once

#include "kernel/kernel.hpp"
#include "telemetry/telemetry.hpp"

#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <string>
#include <vector>

namespace sedgechute::load {

using instant = std::chrono::steady_clock::time_point;

/// \brief Where calls go: a host's callers' API, or an engine without any host between.
struct target {
  Poco::Net::SocketAddress address;
  bool direct{false};
};

/// \brief One call that a caller makes.
struct load_call {
  std::string team{"-"};
  std::string class_name{"-"};
  std::string bearer{};
  std::string method{"POST"};
  std::string path{"/v1/chat/completions"};
  std::string body{};
  std::string key{};         ///< `Idempotency-Key`; only a call with one is tried again
  std::string fingerprint{}; ///< of the prompt; empty for plain services
  std::string send_class{};  ///< `X-Sedgechute-Class`; empty: the team's default
  bool non_idempotent{false};
  bool chat{true};
  time_ms due{}; ///< after the start of the run
};

enum class call_end {
  answered,   ///< one whole answer
  refused,    ///< told so, by status or by an error event
  unresolved, ///< neither: connection lost, answer cut without a word
};

/// \brief What became of a call.
struct call_outcome {
  call_end end{call_end::unresolved};
  int status{0};
  std::string error{};      ///< kind of refusal, or what broke
  std::string request_id{}; ///< of the last try
  std::uint32_t tries{0};
  std::int64_t tokens{0};
  std::int64_t billed{0};
  std::int64_t used{0}; ///< prompt and completion tokens that the answer's usage states
  bool mixed{false};
  bool disordered{false};
  bool cut{false};          ///< some try ended in the middle without a word
  std::int64_t first_us{0}; ///< to the first token of a stream; 0 when it was none
  std::int64_t total_us{0};
  std::int64_t late_us{0}; ///< sent so much after it was due
  latency_histogram gaps_us{};
};

} // namespace sedgechute::load

namespace sedgechute {

template <>
struct enum_names<load::call_end> {
  static constexpr auto entries =
      enum_table<load::call_end>({{load::call_end::answered, "answered"},
                                  {load::call_end::refused, "refused"},
                                  {load::call_end::unresolved, "unresolved"}});
};

} // namespace sedgechute
