#pragma once

#include "gateway/impl/gateway.hpp"
#include "gateway/impl/run_request.hpp"

namespace sedgechute {

/// \brief A run with its bill.
struct billed_run {
  run_result result;
  std::uint64_t billed{};
};

/// \brief Reserves the request's bound, runs it and bills what the delivered run used. Errors end
/// up in the result; nothing stays reserved on any way out.
/// \param budget_key  attempts under the same key share one reservation and one bill
[[nodiscard]] billed_run run_and_bill(gateway& host, const admitted_chat& request,
                                      const std::string& budget_key, answer_sink& sink);

/// \brief Ends the answer in `sink`, exactly once, and reports the request's end.
void conclude(gateway& host, const admitted_chat& request, const std::string& key,
              billed_run& ended, answer_sink& sink);

} // namespace sedgechute
