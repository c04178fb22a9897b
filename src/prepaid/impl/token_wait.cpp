#include "prepaid/impl/token_wait.hpp"

#include <algorithm>

namespace sedgechute {

// A host that is cut off promised little for the first moments after its last record, and more
// later: a request that can wait for that is not refused.
std::optional<token_wait> wait_for_tokens(const short_request& request, time_ms longest) noexcept {
  const time_ms log_until = request.began + longest;
  const bool by_log = request.exchanges < most_exchanges && request.now < log_until;
  const bool by_promise =
      request.covered_in && request.now + *request.covered_in <= request.began + request.patience;
  if (!by_log && !by_promise)
    return std::nullopt;
  constexpr time_ms least{1};
  time_ms until = by_promise ? request.now + std::max(*request.covered_in, least) : log_until;
  if (by_log)
    until = std::min({until, request.now + usual_exchange, log_until});
  return token_wait{until, by_log};
}

} // namespace sedgechute
