#include "routing/impl/endpoint_health.hpp"

#include <algorithm>
#include <vector>

namespace sedgechute {

namespace {

constexpr double gain = 0.2;
constexpr double damping_ms = 30.0; // damps ratios of very short times
constexpr std::uint32_t max_doublings = 5;

void moving_average(double& average, double value, std::uint32_t samples) {
  const double weight = std::max(gain, 1.0 / (1.0 + samples));
  average += weight * (value - average);
}

double median(std::vector<double> values, double otherwise) {
  if (values.empty())
    return otherwise;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool is_comparable(const endpoint_health& health, const health_policy& policy, time_ms now) {
  return health.samples >= policy.min_samples && now - health.last_sample < policy.sample_life;
}

struct peer_medians {
  double slowness;
  double pace_ms;
  double failures;
};

peer_medians medians_of(std::span<endpoint_health* const> pool, const health_policy& policy,
                        time_ms now) {
  std::vector<double> ratios;
  std::vector<double> pace;
  std::vector<double> failures;
  for (const endpoint_health* const health : pool) {
    if (!is_comparable(*health, policy, now))
      continue;
    ratios.push_back(slowness(*health));
    failures.push_back(health->failures);
    if (health->pace_ms > 0.0)
      pace.push_back(health->pace_ms);
  }
  return {median(std::move(ratios), 1.0), median(std::move(pace), 0.0),
          median(std::move(failures), 0.0)};
}

// Largest ratio of a metric to its tolerated value; from 1 on the endpoint is an outlier.
double outlier_ratio(const endpoint_health& health, const peer_medians& peers,
                     const health_policy& policy) {
  double worst = slowness(health) / (std::max(1.0, peers.slowness) * policy.slow_ratio);
  if (peers.pace_ms > 0.0)
    worst = std::max(worst, health.pace_ms / (peers.pace_ms * policy.slow_ratio));
  if (peers.failures < policy.failure_share / 2)
    worst = std::max(worst, health.failures / policy.failure_share);
  return worst;
}

time_ms ejection_duration(const health_policy& policy, std::uint32_t earlier) {
  const std::uint32_t doublings = std::min(earlier, max_doublings);
  return std::min(policy.max_ejection, policy.first_ejection * (std::int64_t{1} << doublings));
}

// Reinstates the endpoint without its history, so that a few requests decide again.
void reinstate(endpoint_health& health) {
  health.state = endpoint_state::serving;
  health.samples = 0;
  health.observed_ms = 0.0;
  health.expected_ms = 0.0;
  health.pace_ms = 0.0;
  health.failures = 0.0;
  health.failed_connects = 0;
}

} // namespace

double slowness(const endpoint_health& health) noexcept {
  return (health.observed_ms + damping_ms) / (health.expected_ms + damping_ms);
}

void note_first_token(endpoint_health& health, double observed_ms, double expected_ms,
                      time_ms now) {
  moving_average(health.observed_ms, observed_ms, health.samples);
  moving_average(health.expected_ms, std::max(0.0, expected_ms), health.samples);
  health.last_sample = now;
}

void note_pace(endpoint_health& health, double between_tokens_ms, time_ms now) {
  if (health.pace_ms <= 0.0)
    health.pace_ms = between_tokens_ms;
  else
    moving_average(health.pace_ms, between_tokens_ms, health.samples);
  health.last_sample = now;
}

void note_outcome(endpoint_health& health, bool failed, time_ms now) {
  moving_average(health.failures, failed ? 1.0 : 0.0, health.samples);
  ++health.samples;
  health.last_sample = now;
  if (!failed)
    health.failed_connects = 0;
}

bool note_connect_failure(endpoint_health& health, const health_policy& policy, time_ms now) {
  ++health.failed_connects;
  const bool new_fault = health.state == endpoint_state::serving;
  if (health.failed_connects < policy.connect_failures || health.state == endpoint_state::leaving)
    return false;
  health.state = endpoint_state::unreachable;
  health.until = now + ejection_duration(policy, health.ejections);
  ++health.ejections;
  return new_fault;
}

bool note_reachable(endpoint_health& health) noexcept {
  health.failed_connects = 0;
  if (health.state != endpoint_state::unreachable)
    return false;
  health.ejections = 0;
  reinstate(health);
  return true;
}

std::size_t review_peers(std::span<endpoint_health* const> pool, const health_policy& policy,
                         time_ms now) {
  std::size_t changed = 0;
  std::size_t ejected = 0;
  for (endpoint_health* const health : pool) {
    const bool away =
        health->state == endpoint_state::ejected || health->state == endpoint_state::unreachable;
    if (away && health->until <= now) {
      reinstate(*health);
      ++changed;
    } else if (health->state == endpoint_state::ejected) {
      ++ejected;
    }
  }

  const peer_medians peers = medians_of(pool, policy, now);
  struct suspect {
    double outlier_ratio;
    endpoint_health* health;
  };
  std::vector<suspect> suspects;
  for (endpoint_health* const health : pool) {
    if (health->state != endpoint_state::serving || !is_comparable(*health, policy, now))
      continue;
    const double value = outlier_ratio(*health, peers, policy);
    if (value >= 1.0)
      suspects.push_back({value, health});
    else
      health->ejections = 0;
  }
  std::ranges::stable_sort(suspects, [](const suspect& a, const suspect& b) {
    return a.outlier_ratio > b.outlier_ratio;
  });

  const auto allowed =
      static_cast<std::size_t>(policy.max_ejected * static_cast<double>(pool.size()));
  for (const suspect& s : suspects) {
    if (ejected >= allowed)
      break;
    s.health->state = endpoint_state::ejected;
    s.health->until = now + ejection_duration(policy, s.health->ejections);
    ++s.health->ejections;
    ++ejected;
    ++changed;
  }
  return changed;
}

} // namespace sedgechute
