// What a host promises to use at most until its next record.

#include "prepaid/impl/loan_policy.hpp"
#include "prepaid/impl/partition_budgets.hpp"
#include "prepaid/impl/promise_policy.hpp"
#include "prepaid/impl/saturating_sub.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// Rate in tokens per second of a team that has sent no request yet.
constexpr double min_rate = 1;

} // namespace

// Callers move between hosts, so a host without requests promises as much as others while some of
// them have requests. A host that gets few of a busy team's requests cannot tell for seconds that
// there are no more, so hosts count by their rates.
bool partition_budgets::is_active(const team_state& state, time_ms now) const {
  const bool active_here = state.pauses.active(now);
  const bool promise_used_up = state.wanted > 0 || !state.unpromised.empty();
  if (active_here && (promise_used_up || state.rate < min_rate))
    return true;
  double all = state.rate;
  double active = active_here ? state.rate : 0;
  bool others_active = false;
  for (const auto& [host, kept] : state.accounts) {
    if (host == host_ || now - kept.written > options_.activity_timeout)
      continue;
    const bool active_there = kept.value.pace >= least_active_pace;
    others_active = others_active || active_there;
    all += static_cast<double>(kept.value.rate);
    active += active_there ? static_cast<double>(kept.value.rate) : 0;
  }
  return (active_here || others_active) && active >= options_.min_active_part * all;
}

bool partition_budgets::active(const std::string& team, time_ms now) const {
  const team_state* state = find(team);
  return state != nullptr && is_active(*state, now);
}

std::uint64_t partition_budgets::promised(const std::string& team, time_ms within) const {
  const team_state* state = find(team);
  if (state == nullptr)
    return 0;
  const auto at = state->accounts.find(host_);
  if (at == state->accounts.end() || at->second.value.incarnation != incarnation_)
    return 0;
  return saturating_sub(max_used(at->second.value, within), at->second.value.used);
}

void partition_budgets::promise(const std::string& team, account& next, const team_state& state,
                                double remaining_fraction, const clock_reading& now) const {
  const usage_promise of = make_promise(
      {.unused = static_cast<double>(next.slack()),
       .rate = static_cast<double>(next.rate),
       .mean_request = mean_request_,
       .lent_fraction = std::min(state.lent_rate / std::max(state.rate, min_rate), 1.0),
       .unpromised_rate = state.unpromised_rate,
       .remaining_fraction = remaining_fraction,
       .host_active = holds(team) && state.pauses.active(now.boot),
       .team_active = is_active(state, now.boot)},
      options_);
  const std::uint64_t ahead =
      state.wanted > 0 ? tokens_for(state.demand.rate(now.boot), loan_ahead_window, state.prepaid)
                       : 0;
  next.burst = of.burst + state.wanted + ahead + unpromised_demand(state, now.boot);
  next.pace = of.pace;
  next.outage_pace = of.outage_pace;
  next.outage_after = of.outage_after;
  next.written = now;
}

} // namespace sedgechute
