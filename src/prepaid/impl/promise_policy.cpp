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

// Hosts divide the burst of a budget as they divide its unused tokens.
double max_burst(const promise_inputs& demand, const prepaid_options& options) noexcept {
  const double part_of_budget = demand.unused / std::max(demand.remaining_fraction, 1e-9);
  return options.max_burst_fraction * part_of_budget;
}

} // namespace

// Tokens that are promised and not used are lost when hosts are killed, so the burst is a small
// part of what a host holds, and shrinks with the unused part of the team's budget. Otherwise the
// next kill would end a budget of which little is left. The pace does not shrink: a host that holds
// the use of one second would refuse most requests while it is cut off. While hosts are cut off
// from the log they use no more than the team used before; an outage of the same time costs the
// team as much.
usage_promise make_promise(const promise_inputs& demand, const prepaid_options& options) noexcept {
  const double promisable = demand.unused * demand.remaining_fraction;
  const double burst = options.burst_fraction * promisable;
  const double pace = options.pace_factor * demand.rate;
  usage_promise promise;
  promise.burst = static_cast<std::uint64_t>(
      std::min(std::max(burst, loan_burst(demand, options)), max_burst(demand, options)));
  promise.pace = static_cast<std::uint64_t>(pace);
  promise.ends_after = options.promise_duration;
  return promise;
}

} // namespace sedgechute
