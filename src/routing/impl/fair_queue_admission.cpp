#include "routing/impl/fair_queue.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;
constexpr double output_gain = 0.1; // weight of a new response in the moving average

} // namespace

// Each host's part is at least one; otherwise a team whose requests are spread over many hosts
// could send nothing.
double host_limit(double limit, double fraction) noexcept {
  return std::max(1.0, limit * fraction);
}

admission fair_queue::refuse(error_kind kind, time_ms retry_after) const noexcept {
  admission answer;
  answer.refusal = kind;
  answer.retry_after = std::clamp(retry_after, policy_.min_retry_after, policy_.max_retry_after);
  return answer;
}

// The wait is the smaller of two bounds: the time to serve everything queued here, and the time to
// serve the team's own earlier work at the rate that its weight guarantees. `finish -
// virtual_time_` is service that the team has received in advance and has to wait off.
time_ms fair_queue::wait_of(const team_state& team, work_class kind) const noexcept {
  if (rate_ <= 0.0 || queued_ == 0)
    return time_ms{0};
  double ahead = 0.0;
  for (std::size_t c = 0; c <= static_cast<std::size_t>(kind); ++c)
    ahead += team.classes[c].waiting_cost;
  const double weights = queued_weight_ + (team.queued == 0 ? team.weight : 0.0);
  const double lead = std::max(0.0, team.finish - virtual_time_) * team.weight;
  const double own_s = (ahead + lead) * weights / (rate_ * team.weight);
  const double all_s = queued_cost_ / rate_;
  return time_ms{static_cast<std::int64_t>(std::min(own_s, all_s) * ms_per_s)};
}

admission fair_queue::check(const team_state& team, const queued_work& work, time_ms now) const {
  const team_limits& limits = team.limits;
  const time_ms rate_wait =
      std::max(team.request_rate.wait_for(1.0, now), team.cost_rate.wait_for(work.cost, now));
  if (rate_wait > time_ms{0})
    return refuse(error_kind::rate_limited, rate_wait);

  const time_ms wait = wait_of(team, work.kind);
  const bool too_many = limits.max_queued > 0 && static_cast<double>(team.queued) >=
                                                     host_limit(limits.max_queued, limits.fraction);
  const bool too_much =
      limits.max_queued_cost > 0 && team.queued > 0 &&
      team.queued_cost + work.cost >
          host_limit(static_cast<double>(limits.max_queued_cost), limits.fraction);
  if (too_many || too_much) {
    const bool at_concurrency =
        limits.max_running > 0 &&
        static_cast<double>(team.running) >= host_limit(limits.max_running, limits.fraction);
    return refuse(at_concurrency ? error_kind::concurrency_limited : error_kind::queue_full, wait);
  }
  if (now + wait > work.deadline)
    return refuse(error_kind::deadline_unreachable, now + wait - work.deadline);

  admission answer;
  answer.admitted = true;
  answer.expected_wait = wait;
  return answer;
}

time_ms fair_queue::expected_wait(const team_id& team, work_class kind, time_ms /*now*/) const {
  const team_state* const state = find(team);
  return state == nullptr ? time_ms{0} : wait_of(*state, kind);
}

double fair_queue::expected_output(const team_id& team, work_class kind, double bound) const {
  const team_state* const state = find(team);
  const double usual =
      state == nullptr ? 0.0 : state->classes[static_cast<std::size_t>(kind)].average_output;
  return usual <= 0.0 ? bound : std::min(usual, bound);
}

void fair_queue::learn_output(const team_id& team, work_class kind, double output) {
  class_queue& queue = teams_[slot_of(team)].classes[static_cast<std::size_t>(kind)];
  queue.average_output = queue.average_output <= 0.0
                             ? output
                             : queue.average_output + output_gain * (output - queue.average_output);
}

queue_figures fair_queue::figures() const noexcept {
  return {queued_, queued_cost_, running_, running_cost_, rate_};
}

std::vector<fair_queue::team_figures> fair_queue::teams() const {
  std::vector<team_figures> all;
  all.reserve(teams_.size());
  for (const team_state& team : teams_) {
    double urgent = 0.0;
    for (std::size_t c = 0; c < static_cast<std::size_t>(work_class::long_running); ++c)
      urgent += team.classes[c].waiting_cost;
    all.push_back({team.id, team.limits.weight, team.queued, team.queued_cost, urgent, team.running,
                   team.started_cost, team.arrived_cost});
  }
  return all;
}

} // namespace sedgechute
