#include "prepaid/impl/promise_policy.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

double seconds(time_ms span) noexcept {
  constexpr double ms_per_second = 1000;
  return static_cast<double>(span.count()) / ms_per_second;
}

// Other hosts borrow for whole requests, and do not wait for this host's next record. In a large
// fleet a few hosts lend to hundreds: if they are asked for more than they have promised, the burst
// covers that demand until the next record.
double loan_burst(const promise_inputs& demand, const prepaid_options& options) noexcept {
  const double whole_requests =
      demand.lent_fraction * options.loan_burst_requests * demand.mean_request;
  const double until_record = demand.unpromised_rate * seconds(options.loan_burst_window);
  return std::min(whole_requests + until_record, options.max_loan_burst_fraction * demand.unused);
}

} // namespace

// Tokens that are promised and not used are lost when hosts are killed, so a promise is a small
// part of what a host holds, and shrinks with the unused part of the team's budget. Otherwise the
// next kill would end a budget of which little is left. The time for which hosts are away counts as
// use, so a promise that grows with time is made only for a team that sends requests.
usage_promise make_promise(const promise_inputs& demand, const prepaid_options& options) noexcept {
  const double promisable = demand.unused * demand.remaining_fraction;
  if (!demand.team_active)
    return {.burst = static_cast<std::uint64_t>(options.idle_burst_fraction * promisable),
            .outage_after = options.outage_after};
  const double burst = options.burst_fraction * promisable;
  const double max_pace = options.paced_fraction * promisable / seconds(options.outage_after);
  const double pace = std::min(options.pace_factor * demand.rate, max_pace);
  const double full_use_pace = promisable / seconds(options.full_use_within);
  usage_promise promise;
  promise.burst = static_cast<std::uint64_t>(std::max(burst, loan_burst(demand, options)));
  if (demand.host_active && demand.unused > 0)
    promise.pace = std::max(static_cast<std::uint64_t>(pace), least_active_pace);
  promise.outage_pace =
      static_cast<std::uint64_t>(std::max(options.outage_pace_factor * demand.rate, full_use_pace));
  promise.outage_after = options.outage_after;
  return promise;
}

} // namespace sedgechute
