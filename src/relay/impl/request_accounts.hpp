#pragma once

#include "prepaid/prepaid.hpp"
#include "relay/impl/admitted_request.hpp"
#include "relay/impl/caller_answer.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/incoming_request.hpp"
#include "telemetry/telemetry.hpp"

#include <cstddef>
#include <string_view>

namespace sedgechute {

/// \brief Sets the most that a request can cost aside from its team's budget.
/// \param retry_after  told where the tokens lie with other hosts
/// \returns the tokens set aside; 0 for a request that costs none
/// \throws error `budget_exhausted` or `budget_unreachable`
[[nodiscard]] std::uint64_t reserve_tokens(budget_manager& budgets, const admitted_request& request,
                                           time_ms retry_after);

/// \brief What a request with tokens set aside has used of them: once it may have run its prompt
/// counts as read; of the answer, what the caller got.
/// \param events  that the caller got
[[nodiscard]] std::uint64_t tokens_used(const admitted_request& request, std::uint64_t reserved,
                                        bool may_have_run, std::uint64_t events) noexcept;

/// \brief Where a request is recorded.
struct request_records {
  structured_log& log;
  metrics& figures;
  const clock& time;
};

struct send_record {
  const placement& place;
  send_outcome end;
  std::size_t number; ///< of the request's sends
  time_ms began;
};

void record_send(const request_records& into, const admitted_request& request,
                 const send_record& sent);

struct end_record {
  const incoming_request& in;
  const caller_answer& answer;
  int status; ///< 0: the caller got none
  std::string_view reason;
  std::size_t sends;
  std::string_view last_endpoint; ///< empty when it was sent to none
  std::uint64_t reserved;
  std::uint64_t used;
};

void record_end(const request_records& into, const admitted_request& request,
                const end_record& ended);

} // namespace sedgechute
