#pragma once

#include "gateway/impl/caller_api.hpp"
#include "gateway/impl/gateway.hpp"
#include "gateway/impl/service_body.hpp"

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
  std::uint64_t ticket{}; ///< of the claim on the key; 0 without one
  time_ms accepted;
};

/// \brief How a call ended.
struct service_result {
  bool answered{false};
  bool may_have_run{false};
  int attempts{};
  endpoint_id endpoint;
  std::optional<error_kind> refused; ///< not sent to the caller yet unless `cut`
  bool cut{false};                   ///< part of the answer was sent
  kept_answer kept;                  ///< of a call with a key; an empty body if it was too long
};

/// \brief Passes the call to an endpoint of the service and its answer back, both as streams with
/// bounded memory.
[[nodiscard]] service_result relay_service_call(gateway& host, caller_exchange& exchange,
                                                const service_call& call, service_body& body);

} // namespace sedgechute
