#include "routing/impl/share_plan.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;
constexpr double min_demand = 1e-9;
// Smallest weight on a host, as a fraction of an equal part: a team with hardly any requests here
// so far must not start from zero.
constexpr double min_part = 0.25;
// Fraction of a team's limits that is divided equally over the hosts; the rest is divided by
// demand, so all parts sum to 1.
constexpr double equal_part = 0.2;

double hosts_of(const share_report& all) noexcept {
  return std::max<std::uint32_t>(1, all.hosts);
}

void add(team_demand& sum, const team_demand& part) noexcept {
  sum.wanted += part.wanted;
  sum.served += part.served;
  sum.queued += part.queued;
  sum.weight = part.weight;
}

struct claim {
  std::size_t index{};
  double wanted{};
  double weight{};
  double granted{};
};

// Weighted max-min fairness: a claim below its share is granted in full, and the others divide the
// rest. Claims are visited in the order in which they would be satisfied, so one pass is enough.
void divide(std::vector<claim>& claims, double capacity) {
  std::ranges::sort(claims, [](const claim& a, const claim& b) {
    return a.wanted * b.weight < b.wanted * a.weight;
  });
  double weights = 0.0;
  for (const claim& c : claims)
    weights += c.weight;
  for (claim& c : claims) {
    c.granted = std::min(c.wanted, weights <= 0.0 ? 0.0 : capacity * c.weight / weights);
    capacity -= c.granted;
    weights -= c.weight;
  }
}

const team_demand* find(const share_report& report, const team_id& team) {
  const auto found = std::ranges::find(report.teams, team, &team_demand::team);
  return found == report.teams.end() ? nullptr : &*found;
}

// Weight factor for a team that was served less or more than its grant over the last period.
// Without it, delays and cost estimates would leave a permanent error.
double correction(double granted, double served, const share_policy& policy) {
  if (granted <= min_demand)
    return 1.0;
  const double error = (granted - served) / granted;
  return std::clamp(1.0 + policy.feedback * error, 1.0 / policy.max_feedback, policy.max_feedback);
}

// Returns a team's demand as a multiple of its share. The backlog is excluded because it may stem
// from a momentary overload.
double demand_ratio(const claim& c, const team_demand& all) {
  return c.granted < c.wanted ? all.wanted / std::max(c.granted, min_demand) : 0.0;
}

// Recent service is required as well, because a single long request of a small team is no flood.
double excess_of(const claim& c, const team_demand& all, const share_policy& policy) {
  if (all.queued <= 0.0 || all.served < policy.beyond_from * c.granted)
    return 0.0;
  return std::clamp((demand_ratio(c, all) - policy.flood_from) / policy.flood_range, 0.0, 1.0);
}

bool is_overloaded(const share_inputs& inputs, const share_policy& policy) {
  double queued = inputs.all.others.queued;
  for (const team_demand& team : inputs.all.teams)
    queued += team.queued;
  return inputs.pool_rate > 0.0 &&
         (queued > policy.overload_queue_s * inputs.pool_rate ||
          inputs.all.urgent_queued > policy.overload_urgent_s * inputs.pool_rate);
}

// Returns the fraction of the service that goes to teams which do not flood. If nearly all teams
// demand far more than their share, weights alone divide the pool and no team needs protection.
double entitled_part_of(std::span<const claim> claims, const share_inputs& inputs,
                        const share_policy& policy) {
  double all = inputs.all.others.served;
  double entitled = all - inputs.all.others_beyond;
  for (const claim& c : claims) {
    const team_demand& team = inputs.all.teams[c.index];
    all += team.served;
    entitled += demand_ratio(c, team) < policy.flood_from ? team.served : 0.0;
  }
  const double part = all <= 0.0 ? 0.0 : entitled / all;
  return part < policy.min_entitled ? 0.0 : part;
}

// If a speaker has divided the whole sum, its grant to the others is used. Max-min division is
// consistent: the rest of the pool divides over the teams named here as it does in the whole.
double granted_to_others(const share_report& all, const share_policy& policy) {
  return all.scope == share_scope::fleet ? all.others_granted : demand_of(all.others, policy);
}

std::vector<claim> claims_of(const share_inputs& inputs, std::span<const team_weight> weights,
                             const share_policy& policy) {
  absl::flat_hash_map<team_id, double> weight_of;
  for (const team_weight& w : weights)
    weight_of[w.team] = w.weight;
  std::vector<claim> claims;
  const double others = granted_to_others(inputs.all, policy);
  double wanted = others;
  for (std::size_t i = 0; i < inputs.all.teams.size(); ++i) {
    const team_demand& team = inputs.all.teams[i];
    const auto found = weight_of.find(team.team);
    const double weight = found == weight_of.end() ? team.weight : found->second;
    claims.push_back({i, demand_of(team, policy), weight, 0.0});
    wanted += claims.back().wanted;
  }
  divide(claims, inputs.pool_rate > 0.0 ? std::max(0.0, inputs.pool_rate - others) : wanted);
  return claims;
}

} // namespace

double demand_of(const team_demand& team, const share_policy& policy) {
  return team.wanted + team.queued * ms_per_s / static_cast<double>(policy.horizon.count());
}

std::vector<team_grant> divide_pool(const share_report& all, const share_policy& policy) {
  share_inputs inputs;
  inputs.pool_rate = all.rate;
  inputs.all = all;
  std::vector<team_grant> grants(all.teams.size());
  for (const claim& c : claims_of(inputs, {}, policy))
    grants[c.index] = {c.granted, demand_ratio(c, all.teams[c.index]) >= policy.flood_from};
  return grants;
}

share_report merge_reports(std::span<const share_report> reports, std::size_t max_teams) {
  share_report sum;
  sum.hosts = 0;
  absl::flat_hash_map<team_id, std::size_t> places;
  for (const share_report& report : reports) {
    sum.pool = report.pool;
    sum.hosts += report.hosts;
    sum.urgent_queued += report.urgent_queued;
    sum.rate += report.rate;
    add(sum.others, report.others);
    for (const team_demand& team : report.teams) {
      const auto [found, added] = places.try_emplace(team.team, sum.teams.size());
      if (added)
        sum.teams.push_back({team.team, 0.0, 0.0, 0.0});
      add(sum.teams[found->second], team);
    }
  }
  std::ranges::sort(sum.teams, [](const team_demand& a, const team_demand& b) {
    return a.wanted != b.wanted ? a.wanted > b.wanted : a.team < b.team;
  });
  while (sum.teams.size() > max_teams) {
    add(sum.others, sum.teams.back());
    sum.teams.pop_back();
  }
  return sum;
}

share_plan plan_shares(const share_inputs& inputs, std::span<const team_weight> weights,
                       const share_policy& policy) {
  const std::vector<claim> claims = claims_of(inputs, weights, policy);
  const bool overloaded = is_overloaded(inputs, policy);
  const double equal = 1.0 / hosts_of(inputs.all);
  share_plan plan;
  plan.entitled_part = overloaded ? entitled_part_of(claims, inputs, policy) : 0.0;
  double granted_all = granted_to_others(inputs.all, policy);
  const double others_wanted = std::max(min_demand, demand_of(inputs.all.others, policy));
  double granted_here = demand_of(inputs.own.others, policy) * granted_all / others_wanted;
  for (const claim& c : claims) {
    const team_demand& all = inputs.all.teams[c.index];
    granted_all += c.granted;
    const team_demand* const own = find(inputs.own, all.team);
    if (own == nullptr || c.wanted <= min_demand)
      continue;
    const double part = std::min(1.0, demand_of(*own, policy) / c.wanted);
    granted_here += c.granted * part;
    const bool limited = overloaded && c.granted < c.wanted;
    const double factor = limited ? correction(c.granted, all.served, policy) : 1.0;
    // A team that demands less than its share keeps its full weight, so that it never waits.
    const double weight = c.weight * std::max(part, min_part * equal) * factor;
    const double fraction = (1.0 - equal_part) * part + equal_part * equal;
    const double excess = plan.entitled_part > 0.0 ? excess_of(c, all, policy) : 0.0;
    plan.teams.push_back({all.team, weight, fraction, excess});
  }
  const double part_here = granted_all <= min_demand ? equal : granted_here / granted_all;
  const double floors = policy.min_slots * hosts_of(inputs.all);
  plan.slots = policy.min_slots + std::max(0.0, inputs.pool_slots - floors) * part_here;
  return plan;
}

} // namespace sedgechute
