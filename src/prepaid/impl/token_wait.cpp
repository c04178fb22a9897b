#include "prepaid/impl/token_wait.hpp"

#include <algorithm>

namespace sedgechute {

// A host that is cut off has promised little for the first moments after its last record and more
// for later. A request that can wait for that is not refused.
std::optional<token_wait> plan_token_wait(const underfunded_request& request,
                                          time_ms longest) noexcept {
  const time_ms log_until = request.began + longest;
  const bool by_log = request.syncs < max_syncs && request.now < log_until;
  const bool by_promise = request.covered_after && request.now + *request.covered_after <=
                                                       request.began + request.max_promise_wait;
  if (!by_log && !by_promise)
    return std::nullopt;
  constexpr time_ms least{1};
  time_ms until = by_promise ? request.now + std::max(*request.covered_after, least) : log_until;
  if (by_log)
    until = std::min({until, request.now + normal_sync_duration, log_until});
  return token_wait{until, by_log};
}

} // namespace sedgechute
