#pragma once

#include "gateway/impl/gateway.hpp"
#include "gateway/impl/run_request.hpp"

namespace sedgechute {

/// \brief Reserves, runs, bills and ends the answer in `sink`, exactly once.
/// \param budget_key  attempts under the same key share one reservation and one bill
void run_and_bill(gateway& host, const admitted_chat& request, const std::string& budget_key,
                  answer_sink& sink);

/// \brief Answers a request that has an idempotency key: runs it if the claim says so, else gives
/// the answer of the attempt that runs or ran, else the truth.
void answer_keyed(gateway& host, admitted_chat& request, const std::string& key, answer_sink& sink);

} // namespace sedgechute
