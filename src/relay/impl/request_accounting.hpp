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

/// \brief Reserves the maximum cost of a request in its team's budget.
/// \param retry_after  for the refusal when other hosts hold the tokens
/// \returns the reserved tokens; 0 for a request that needs none
/// \throws error `budget_exhausted` or `budget_unreachable`
[[nodiscard]] std::uint64_t reserve_tokens(budget_manager& budgets, const admitted_request& request,
                                           time_ms retry_after);

/// \returns the tokens that a request has used of its reservation: the whole prompt once it may
/// have run, plus the part of the answer that the caller received \param events  number of events
/// that the caller received
[[nodiscard]] std::uint64_t tokens_used(const admitted_request& request, std::uint64_t reserved,
                                        bool may_have_run, std::uint64_t events) noexcept;

/// \brief Log, metrics and clock for the records of a request.
struct request_records {
  structured_log& log;
  metrics& figures;
  const clock& time;
};

struct send_record {
  const placement& place;
  send_outcome end;
  std::size_t number; ///< of the send, from 1
  time_ms began;
};

/// \brief Writes the log line and metrics of one send.
void record_send(const request_records& into, const admitted_request& request,
                 const send_record& sent);

struct end_record {
  const incoming_request& in;
  const caller_answer& answer;
  int status; ///< 0: the caller received no answer
  std::string_view reason;
  std::size_t sends;
  std::string_view last_endpoint; ///< empty when the request was never sent
  std::uint64_t reserved;
  std::uint64_t used;
};

/// \brief Writes the log line and metrics of a finished request.
void record_end(const request_records& into, const admitted_request& request,
                const end_record& ended);

} // namespace sedgechute
