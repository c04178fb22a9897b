#include "summary.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sedgechute::bench {

namespace {

constexpr double window_s = 10.0;
constexpr double recovery_window_ms = 5000.0;
constexpr double recovered_factor = 1.5;
constexpr double recovered_slack_ms = 50.0;

double percentile(std::vector<double>& values, double part) {
  if (values.empty())
    return 0.0;
  const auto place = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + place, values.end());
  return values[static_cast<std::size_t>(place)];
}

bool measured(const driver& world, const arrival& a) {
  return a.at_ms >= world.setting().measured_from_ms;
}

class_summary summarise_class(const driver& world, work_class kind) {
  class_summary sum;
  std::vector<double> waits;
  for (std::size_t i = 0; i < world.arrivals().size(); ++i) {
    const arrival& a = world.arrivals()[i];
    const fate& f = world.fates()[i];
    if (a.kind != kind || !measured(world, a))
      continue;
    sum.answered += f.end == ending::complete;
    sum.refused += f.end == ending::refused;
    sum.cut += f.end == ending::cut;
    if (f.end == ending::complete)
      waits.push_back(f.first_token_ms);
  }
  sum.p50_ms = percentile(waits, 0.5);
  sum.p95_ms = percentile(waits, 0.95);
  sum.p99_ms = percentile(waits, 0.99);
  return sum;
}

/// A team has work waiting throughout a window if in each second of it some request of the team
/// had arrived and not begun.
std::vector<std::vector<bool>> queued_by_second(const driver& world, std::size_t seconds) {
  const std::size_t teams = world.setting().who.team_parts.size();
  std::vector<std::vector<int>> change(seconds + 1, std::vector<int>(teams));
  for (std::size_t i = 0; i < world.arrivals().size(); ++i) {
    const arrival& a = world.arrivals()[i];
    const fate& f = world.fates()[i];
    const double until = f.first_token_ms >= 0.0 ? a.at_ms + f.first_token_ms : f.ended_at_ms;
    const auto first = static_cast<std::size_t>(std::ceil(a.at_ms / 1000.0));
    const auto last = static_cast<std::size_t>(std::floor(until / 1000.0));
    for (std::size_t s = first; s < last && s < seconds; ++s)
      ++change[s][a.team];
  }
  std::vector<std::vector<bool>> queued(seconds, std::vector<bool>(teams));
  for (std::size_t s = 0; s < seconds; ++s)
    for (std::size_t t = 0; t < teams; ++t)
      queued[s][t] = change[s][t] > 0;
  return queued;
}

void summarise_shares(const driver& world, summary& sum) {
  const auto seconds = static_cast<std::size_t>(world.setting().duration_ms / 1000.0);
  const auto from = static_cast<std::size_t>(world.setting().measured_from_ms / 1000.0);
  const auto queued = queued_by_second(world, seconds);
  const auto& weights = world.setting().who.team_weights;
  const auto window = static_cast<std::size_t>(window_s);
  std::vector<double> errors(weights.size());
  std::vector<double> own_errors(weights.size());
  std::vector<std::size_t> windows(weights.size());
  for (std::size_t start = from; start + window <= seconds; start += window) {
    std::vector<double> served(weights.size());
    std::vector<bool> always(weights.size(), true);
    double all = 0.0;
    for (std::size_t s = start; s < start + window; ++s)
      for (std::size_t t = 0; t < weights.size(); ++t) {
        served[t] += world.served()[s][t];
        all += world.served()[s][t];
        always[t] = always[t] && queued[s][t];
      }
    double weight = 0.0;
    double with_queue = 0.0;
    for (std::size_t t = 0; t < weights.size(); ++t)
      if (always[t]) {
        weight += weights[t];
        with_queue += served[t];
      }
    for (std::size_t t = 0; t < weights.size(); ++t) {
      if (!always[t] || all <= 0.0 || with_queue <= 0.0)
        continue;
      const double due = with_queue * weights[t] / weight;
      errors[t] += std::abs(served[t] - due) / all;
      own_errors[t] += std::abs(served[t] - due) / due;
      ++windows[t];
    }
  }
  for (std::size_t t = 0; t < weights.size(); ++t) {
    if (windows[t] == 0)
      continue;
    sum.share_windows += windows[t];
    const auto count = static_cast<double>(windows[t]);
    sum.share_error = std::max(sum.share_error, errors[t] / count);
    sum.share_error_own = std::max(sum.share_error_own, own_errors[t] / count);
  }
}

} // namespace

summary summarise(const driver& world) {
  summary sum;
  for (std::size_t c = 0; c < work_class_count; ++c)
    sum.classes[c] = summarise_class(world, static_cast<work_class>(c));
  const double from = world.setting().measured_from_ms;
  const double until = world.setting().duration_ms;
  double tokens = 0.0;
  double prompt = 0.0;
  double cached = 0.0;
  double attempts = 0.0;
  double requests = 0.0;
  for (std::size_t i = 0; i < world.arrivals().size(); ++i) {
    const arrival& a = world.arrivals()[i];
    const fate& f = world.fates()[i];
    sum.lost += f.end == ending::open;
    sum.answered_twice += f.answers > 1;
    const bool in_time =
        f.first_token_ms >= 0.0 && f.first_token_ms <= static_cast<double>(a.patience.count());
    if (f.end == ending::complete && in_time && f.ended_at_ms >= from && f.ended_at_ms < until)
      tokens += a.output_tokens;
    if (!measured(world, a))
      continue;
    requests += 1.0;
    attempts += f.attempts > 1 ? f.attempts - 1.0 : 0.0;
    if (f.end == ending::complete) {
      prompt += a.prompt_tokens;
      cached += f.cached;
    }
  }
  sum.goodput = tokens / (until - from) * 1000.0;
  sum.cache_hits = prompt > 0.0 ? cached / prompt : 0.0;
  sum.tries = requests > 0.0 ? attempts / requests : 0.0;
  sum.crashes = world.crashes();
  summarise_shares(world, sum);
  return sum;
}

double chat_p99_without(const driver& world, std::uint32_t team, double from_ms) {
  std::vector<double> waits;
  for (std::size_t i = 0; i < world.arrivals().size(); ++i) {
    const arrival& a = world.arrivals()[i];
    const fate& f = world.fates()[i];
    if (a.kind == work_class::interactive && a.team != team && a.at_ms >= from_ms &&
        f.end == ending::complete)
      waits.push_back(f.first_token_ms);
  }
  return percentile(waits, 0.99);
}

double recovery_ms(const driver& world) {
  const double fault_at = world.setting().fault_at_ms;
  const auto p95_of = [&](double from, double to) {
    std::vector<double> waits;
    for (std::size_t i = 0; i < world.arrivals().size(); ++i) {
      const arrival& a = world.arrivals()[i];
      const fate& f = world.fates()[i];
      if (a.kind == work_class::interactive && a.at_ms >= from && a.at_ms < to &&
          f.first_token_ms >= 0.0)
        waits.push_back(f.first_token_ms);
    }
    return percentile(waits, 0.95);
  };
  const double before = p95_of(world.setting().measured_from_ms, fault_at);
  const double limit = before * recovered_factor + recovered_slack_ms;
  double last_bad = fault_at;
  const double end = world.setting().duration_ms;
  for (double t = fault_at; t + recovery_window_ms <= end; t += recovery_window_ms)
    if (p95_of(t, t + recovery_window_ms) > limit)
      last_bad = t + recovery_window_ms;
  return last_bad + recovery_window_ms > end ? -1.0 : last_bad - fault_at;
}

} // namespace sedgechute::bench
