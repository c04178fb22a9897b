#include "routing/impl/attempt_rule.hpp"

namespace sedgechute {

// Once the caller has part of one run's response, the response of another run must not follow it. A
// request that may have run is repeated only if that is safe: a duplicated order ships a second
// parcel.
bool may_attempt_again(const failed_so_far& request) noexcept {
  const bool safe = !request.may_have_run || request.harmless_twice;
  return safe && !request.answer_begun && request.attempts < request.most_attempts;
}

error_kind refusal_after(const failed_so_far& request) noexcept {
  if (request.answer_begun)
    return error_kind::stream_cut;
  if (!request.may_have_run)
    return error_kind::no_capacity;
  return request.harmless_twice ? error_kind::endpoint_failed : error_kind::outcome_unknown;
}

} // namespace sedgechute
