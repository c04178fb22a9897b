#include "routing/impl/attempt_rule.hpp"

namespace sedgechute {

// Once the caller has part of one run's response, the response of another run must not follow it. A
// request that may have run is repeated only if that is safe: a duplicated order ships a second
// parcel.
bool may_attempt_again(const failed_request& request) noexcept {
  const bool safe = !request.may_have_run || request.idempotent;
  return safe && !request.response_started && request.attempts < request.max_attempts;
}

error_kind refusal_after(const failed_request& request) noexcept {
  if (request.response_started)
    return error_kind::stream_cut;
  if (!request.may_have_run)
    return error_kind::no_capacity;
  return request.idempotent ? error_kind::endpoint_failed : error_kind::outcome_unknown;
}

} // namespace sedgechute
