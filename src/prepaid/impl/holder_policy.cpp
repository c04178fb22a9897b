#include "prepaid/impl/holder_policy.hpp"

namespace sedgechute {

namespace {

// A loan covers half a second of demand, so a host with fewer requests borrows about once for each
// of them, and one that holds tokens writes about two records a second.
constexpr double busy_requests_per_second = 4;
constexpr double quiet_requests_per_second = 2;

// A grant is proportional to a host's rate: a smaller share of the tokens that hosts hold would not
// cover a burst of requests.
constexpr double busy_share = 0.02;

// A grant and its return are a record each, so they do not follow callers that stay for a second.
constexpr time_ms busy_for{1000};
// Longer than a partition of the network, in which callers may be unable to reach their host.
constexpr time_ms quiet_for{10000};

} // namespace

bool is_busy(const holder_demand& demand) noexcept {
  return demand.own_rate > 0 && demand.own_rate >= busy_requests_per_second * demand.mean_request &&
         demand.own_rate >= busy_share * (demand.own_rate + demand.fleet_rate);
}

holder_status next_status(const holder_status& status, const holder_demand& demand,
                          time_ms now) noexcept {
  const bool quiet = demand.own_rate < quiet_requests_per_second * demand.mean_request;
  const bool contrary = status.holds ? quiet || demand.own_rate == 0 : is_busy(demand);
  if (!contrary)
    return {.holds = status.holds, .contrary_since = {}};
  const time_ms since = status.contrary_since.value_or(now);
  const bool allowed = status.holds || demand.holders < max_holders;
  if (allowed && now - since >= (status.holds ? quiet_for : busy_for))
    return {.holds = !status.holds, .contrary_since = {}};
  return {.holds = status.holds, .contrary_since = since};
}

} // namespace sedgechute
