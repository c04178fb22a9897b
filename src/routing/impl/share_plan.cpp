#include "routing/impl/share_plan.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double least_demand = 1e-9;
// Of an equal part: a team that has hardly asked here so far must not start from nothing.
constexpr double least_part = 0.25;
// Of a team's limits, divided equally over the hosts; the rest goes by demand, so all parts sum
// to 1.
constexpr double equal_part = 0.2;

double hosts_of(const share_report& all) noexcept {
  return std::max<std::uint32_t>(1, all.hosts);
}

void add(team_demand& sum, const team_demand& part) noexcept {
  sum.wanted += part.wanted;
  sum.served += part.served;
}

struct claim {
  std::size_t index{};
  double wanted{};
  double weight{};
  double granted{};
};

// Weighted max-min: whoever wants less than its share gets all of it, and the others divide the
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

// A team that got less than its part over the last period is given more weight until it has caught
// up; without this, lag and estimates of cost would leave a lasting error.
double correction(double granted, double served, const share_policy& policy) {
  if (granted <= least_demand)
    return 1.0;
  const double error = (granted - served) / granted;
  return std::clamp(1.0 + policy.feedback * error, 1.0 / policy.most_feedback,
                    policy.most_feedback);
}

} // namespace

share_report merge_reports(std::span<const share_report> reports, std::size_t most_teams) {
  share_report sum;
  sum.hosts = 0;
  absl::flat_hash_map<team_id, std::size_t> places;
  for (const share_report& report : reports) {
    sum.pool = report.pool;
    sum.hosts += report.hosts;
    add(sum.others, report.others);
    for (const team_demand& team : report.teams) {
      const auto [found, added] = places.try_emplace(team.team, sum.teams.size());
      if (added)
        sum.teams.push_back({team.team, 0.0, 0.0});
      add(sum.teams[found->second], team);
    }
  }
  std::ranges::sort(sum.teams, [](const team_demand& a, const team_demand& b) {
    return a.wanted != b.wanted ? a.wanted > b.wanted : a.team < b.team;
  });
  while (sum.teams.size() > most_teams) {
    add(sum.others, sum.teams.back());
    sum.teams.pop_back();
  }
  return sum;
}

share_plan plan_shares(const share_inputs& inputs, std::span<const team_weight> weights,
                       const share_policy& policy) {
  absl::flat_hash_map<team_id, double> weight_of;
  for (const team_weight& w : weights)
    weight_of[w.team] = w.weight;
  const auto weight = [&](const team_id& team) {
    const auto found = weight_of.find(team);
    return found == weight_of.end() ? 1.0 : found->second;
  };

  std::vector<claim> claims;
  double wanted = inputs.all.others.wanted;
  for (std::size_t i = 0; i < inputs.all.teams.size(); ++i) {
    const team_demand& team = inputs.all.teams[i];
    wanted += team.wanted;
    claims.push_back({i, team.wanted, weight(team.team), 0.0});
  }
  const double capacity =
      inputs.pool_rate > 0.0 ? std::max(0.0, inputs.pool_rate - inputs.all.others.wanted) : wanted;
  divide(claims, capacity);

  share_plan plan;
  double granted_all = inputs.all.others.wanted;
  double granted_here = inputs.own.others.wanted;
  const bool short_of = wanted > capacity;
  for (const claim& c : claims) {
    const team_demand& all = inputs.all.teams[c.index];
    granted_all += c.granted;
    const team_demand* const own = find(inputs.own, all.team);
    if (own == nullptr || all.wanted <= least_demand)
      continue;
    const double part = std::min(1.0, own->wanted / all.wanted);
    const double equal = 1.0 / hosts_of(inputs.all);
    granted_here += c.granted * part;
    const double factor = short_of ? correction(c.granted, all.served, policy) : 1.0;
    // A team that wants less than its share keeps the whole weight, so that it never waits.
    plan.teams.push_back({all.team, c.weight * std::max(part, least_part * equal) * factor,
                          (1.0 - equal_part) * part + equal_part * equal});
  }
  const double part_here =
      granted_all <= least_demand ? 1.0 / hosts_of(inputs.all) : granted_here / granted_all;
  const double floors = policy.floor_slots * hosts_of(inputs.all);
  plan.slots = policy.floor_slots + std::max(0.0, inputs.pool_slots - floors) * part_here;
  return plan;
}

} // namespace sedgechute
