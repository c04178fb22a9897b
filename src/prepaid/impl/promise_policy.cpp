#include "prepaid/impl/promise_policy.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

double seconds(time_ms span) noexcept {
  constexpr double ms_a_second = 1000;
  return static_cast<double>(span.count()) / ms_a_second;
}

// Others borrow whole requests, and do not wait for this host's next record. In a large fleet a few
// hosts lend to hundreds: where they were asked for more than they had promised, the lead covers
// what these ask for until that record.
double lead_for_loans(const promise_demand& demand, const prepaid_options& options) noexcept {
  const double whole_requests = demand.lent_part * options.lead_requests * demand.usual_request;
  const double until_record = demand.refused_rate * seconds(options.lent_within);
  return std::min(whole_requests + until_record, options.most_lent_part * demand.unused);
}

} // namespace

// What is promised and not used is lost when hosts are killed, so it is kept to a small part of a
// budget: of what a host holds it shrinks with what the team has left. A budget of which little is
// left would otherwise end with the next kill.
use_promise promise_for(const promise_demand& demand, const prepaid_options& options) noexcept {
  const double generous = demand.unused * demand.left_part;
  const double lead = options.lead_part * generous;
  const double most_pace = options.paced_part * generous / seconds(options.later);
  const double pace = std::min(options.pace_part * demand.rate, most_pace);
  const double all_soon = generous / seconds(options.all_within);
  use_promise promise;
  promise.lead = static_cast<std::uint64_t>(std::max(lead, lead_for_loans(demand, options)));
  promise.pace = static_cast<std::uint64_t>(pace);
  promise.later_pace =
      static_cast<std::uint64_t>(std::max(options.later_pace_part * demand.rate, all_soon));
  promise.later = options.later;
  return promise;
}

} // namespace sedgechute
