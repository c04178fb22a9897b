#pragma once

#include "gateway/impl/answer.hpp"
#include "gateway/impl/chat_request.hpp"
#include "gateway/impl/endpoint_connections.hpp"
#include "gateway/impl/ports.hpp"

namespace sedgechute {

/// \brief A chat request that was admitted, reserved and, if it has a key, claimed.
struct admitted_chat {
  request_id id;
  chat_request chat;
  access_grant grant;
  bool idempotent{true};
  bool keyed{false};      ///< goes on without its caller, for the sake of a retry
  std::uint64_t ticket{}; ///< of the claim on the key; 0 without one
  time_ms accepted;
  std::optional<earlier_run> earlier; ///< where a host that died left the run
  std::uint32_t run_attempt{};        ///< attempt that started it
  bool may_have_run{false};           ///< an earlier attempt may have run
  bool resume_only{false};            ///< never start the request anew
};

/// \brief What running needs of the host.
struct run_context {
  const host_id& host;
  const clock& time;
  endpoint_connections& connections;
  dispatch_port& dispatch;
  claim_port& claims;
};

/// \brief How a run ended, for the bill and the claim.
struct run_result {
  bool answered{false};
  bool may_have_run{false};
  token_usage usage; ///< of the run that was delivered
  std::uint64_t delivered_tokens{};
  int attempts{};
  std::optional<time_ms> first_token_at;
  std::optional<refusal> refused;
  answer_summary summary; ///< without the bill, when answered
};

/// \brief Runs the request on endpoints until one answer is delivered whole or no further attempt
/// is safe or allowed. Events go to `sink`; its `complete` and `fail` are left to the caller, who
/// bills first.
[[nodiscard]] run_result run_chat(const run_context& host, const admitted_chat& request,
                                  answer_sink& sink);

} // namespace sedgechute
