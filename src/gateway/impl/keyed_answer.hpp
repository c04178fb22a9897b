#pragma once

#include "gateway/impl/gateway.hpp"
#include "gateway/impl/run_request.hpp"

namespace sedgechute {

/// \brief Answers a request that has an idempotency key: runs it if the claim says so, else gives
/// the answer of the attempt that runs or ran, else the truth.
void answer_keyed(gateway& host, admitted_chat& request, const std::string& key, answer_sink& sink);

} // namespace sedgechute
