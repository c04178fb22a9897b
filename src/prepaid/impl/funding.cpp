#include "prepaid/impl/funding.hpp"

#include "prepaid/impl/token_wait.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// A holder that could not lend at once writes a record within 100 ms, so it is not worth asking
// again at once.
constexpr time_ms max_loan_pause{40};
// A short wait has room for this many pauses.
constexpr std::int64_t pauses_in_wait = 6;

// Holders may have changed since the log was read this long ago. Right after a start of all hosts
// the first two of six holders have all tokens, and the others only a second later.
constexpr time_ms fresh_view{1000};

// Part of its wait after which a request turns to the other source: from loans to the log at a host
// that holds no tokens of the team, and the other way round at one that does.
constexpr std::int64_t switch_numerator = 3;
constexpr std::int64_t switch_denominator = 5;

} // namespace

// A loan takes a few milliseconds and no record, and a record by a host without tokens makes the
// appends of the holders fail. So such a host borrows first, and again after a pause. Hosts that
// start together read the log before the holders have written, and know no lender until they read
// it again. A pause or a loan leaves the log its part of the wait if the log can help: with a wait
// of 75 ms, two pauses of 40 ms would leave none.
funding_plan plan_funding(const unfunded_request& request) noexcept {
  const time_ms deadline = request.began + request.max_wait;
  const time_ms first_ends =
      request.began + time_ms{request.max_wait.count() * switch_numerator / switch_denominator};
  if (request.now < deadline) {
    const bool log_first = request.holds && request.syncs < max_syncs && request.now < first_ends;
    const bool loan_first = !request.holds && request.now < first_ends;
    const time_ms loans_until = loan_first && request.log_helps ? first_ends : deadline;
    const time_ms loan_pause =
        std::min(max_loan_pause, time_ms{request.max_wait.count() / pauses_in_wait});
    const time_ms sync_until = std::min(deadline, request.now + normal_sync_duration);
    if (request.log_helps && log_first)
      return {funding_step::sync, sync_until};
    const bool unknown_lenders =
        !request.knows_lender || (request.loans > 0 && request.view_age >= fresh_view);
    if (!request.holds && request.can_borrow && unknown_lenders && request.log_answers &&
        request.reads == 0)
      return {funding_step::read, sync_until};
    const bool can_borrow = request.can_borrow && (request.knows_lender || !request.log_helps);
    if (can_borrow && (loan_first || !request.log_helps || request.loans == 0)) {
      if (request.loan_under_way)
        return {funding_step::join, std::min(loans_until, request.now + loan_pause)};
      const time_ms again = request.last_loan + loan_pause;
      if (request.loans == 0 || request.now >= again)
        return {funding_step::borrow, loans_until};
      return {funding_step::pause, std::min(again, loans_until)};
    }
    if (request.log_helps)
      return {funding_step::sync, sync_until};
  }
  if (request.covered_after &&
      request.now + *request.covered_after <= request.began + request.max_promise_wait)
    return {funding_step::promise, request.now + std::max(*request.covered_after, time_ms{1})};
  return {};
}

} // namespace sedgechute
