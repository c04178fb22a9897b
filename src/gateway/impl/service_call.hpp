#pragma once

#include "gateway/impl/caller_api.hpp"
#include "gateway/impl/gateway.hpp"

#include <string>

namespace sedgechute {

/// \brief An admitted call to a plain service.
struct service_call {
  request_id id;
  access_grant grant;
  std::string path; ///< at the endpoint, with its query
  std::string method;
  std::string key; ///< empty without `Idempotency-Key`
  bool idempotent{false};
  time_ms accepted;
};

/// \brief Passes the call to an endpoint of the service and its answer back, both as streams with
/// bounded memory.
/// \returns how the call ended; a refusal has been sent to the caller already
[[nodiscard]] ended_request relay_service_call(gateway& host, caller_exchange& exchange,
                                               const service_call& call);

} // namespace sedgechute
