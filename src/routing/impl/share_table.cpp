#include "routing/impl/share_table.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;
constexpr double smoothing = 0.06; // weight of the latest second in a team's averages
constexpr double wanted_smoothing = 0.06;
constexpr double min_rate = 1e-3;

} // namespace

share_table::share_table(pool_id pool, incarnation self, share_policy policy)
    : pool_{std::move(pool)}, self_{std::move(self)}, policy_{policy} {}

share_report share_table::measure(const fair_queue& queue, time_ms now) {
  const double elapsed_s =
      std::max(0.001, static_cast<double>((now - measured_).count()) / ms_per_s);
  share_report full;
  full.pool = pool_;
  weights_.clear();
  for (const fair_queue::team_figures& team : queue.teams()) {
    team_totals& last = totals_[team.team];
    if (ever_measured_) {
      const double arriving = (team.arrived_cost - last.arrived) / elapsed_s;
      const double served = std::max(0.0, (team.started_cost - last.started) / elapsed_s);
      last.wanted += wanted_smoothing * (arriving - last.wanted);
      if (last.wanted > min_rate || served > min_rate)
        full.teams.push_back({team.team, last.wanted, served, team.queued_cost});
    }
    full.urgent_queued += team.urgent_cost;
    last.started = team.started_cost;
    last.arrived = team.arrived_cost;
    weights_.push_back({team.team, team.weight});
  }
  measured_ = now;
  ever_measured_ = true;
  share_report report = merge_reports({&full, 1}, policy_.max_teams);
  report.pool = pool_;
  report.from = self_;
  report.hosts = 1;
  report.sequence = ++sequence_;
  merge(report, now);
  return report;
}

void share_table::merge(const share_report& report, time_ms now) {
  if (report.pool != pool_)
    return;
  received_report& known = received_[report.from];
  if (known.report.sequence >= report.sequence && known.report.sequence != 0)
    return;
  known = {report, now};
}

void share_table::drop_expired(time_ms now) {
  absl::erase_if(received_, [&](const auto& received) {
    return received.first != self_ && now - received.second.at > policy_.report_lifetime;
  });
}

std::uint32_t share_table::hosts() const {
  std::uint32_t sum = 0;
  for (const auto& [from, received] : received_)
    sum += received.report.hosts;
  return std::max<std::uint32_t>(1, sum);
}

// A team is served only a few requests per second, so its service is averaged before it is compared
// with its grant.
share_inputs share_table::inputs(double pool_slots) {
  std::vector<share_report> reports;
  reports.reserve(received_.size());
  for (const auto& [from, received] : received_)
    reports.push_back(received.report);
  share_inputs result;
  result.pool_slots = pool_slots;
  result.all = merge_reports(reports, policy_.max_teams);
  const auto own = received_.find(self_);
  if (own != received_.end())
    result.own = own->second.report;

  absl::flat_hash_map<team_id, double> averages;
  double rate = result.all.others.served;
  for (team_demand& team : result.all.teams) {
    const auto known = average_service_.find(team.team);
    double served = team.served;
    if (known != average_service_.end())
      served = known->second + smoothing * (team.served - known->second);
    averages[team.team] = served;
    team.served = served;
    rate += served;
  }
  average_service_ = std::move(averages);
  result.pool_rate = rate;
  return result;
}

void share_table::apply_plan(fair_queue& queue, double pool_slots, time_ms now) {
  drop_expired(now);
  const share_inputs current = inputs(pool_slots);
  const share_plan plan = plan_shares(current, weights_, policy_);
  queue.set_credit(plan.slots);
  for (const team_share& share : plan.teams)
    queue.set_share(share.team, share.weight, share.fraction, now, share.excess);
  queue.set_entitled_part(plan.entitled_part);
}

} // namespace sedgechute
