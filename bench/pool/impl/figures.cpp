#include "pool/impl/figures.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute::pool {

namespace {

// An answer is worth more the longer it is, up to a bound; a token made costs as much as ten read.
constexpr double size_floor = 0.3;
constexpr double most_sizes = 4;
constexpr double made_to_read = 10;

double size_of(const arrival& of) noexcept {
  return of.prompt_tokens + made_to_read * of.output_tokens;
}

std::vector<double> mean_sizes(const world& played) {
  std::vector<double> sums(played.of().kinds.size());
  std::vector<double> counts(sums.size());
  for (const arrival& one : played.arrivals()) {
    sums[one.kind] += size_of(one);
    counts[one.kind] += 1;
  }
  for (std::size_t i = 0; i < sums.size(); ++i)
    sums[i] /= std::max(1.0, counts[i]);
  return sums;
}

double quantile(std::vector<double>& values, double part) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<std::size_t>(rank)];
}

void add(reading& to, const reading& from) {
  to.shared += from.shared;
  to.kept += from.kept;
  to.fetched += from.fetched;
  to.read_again += from.read_again;
}

void count(kind_figures& in, const traffic_kind& kind, const fate& how, double size) {
  const double factor = std::min(size_floor + (1 - size_floor) * size, most_sizes);
  ++in.requests;
  in.owed += kind.worth * factor;
  if (how.end == fate_kind::refused)
    ++in.refused;
  if (how.end == fate_kind::left)
    ++in.left;
  if (how.end != fate_kind::answered)
    return;
  const bool in_time = how.first_event_ms <= kind.aim_ms && how.longest_pause_ms <= kind.pause_ms;
  ++(in_time ? in.in_time : in.late);
  in.earned += (in_time ? kind.worth : kind.worth_late) * factor;
}

} // namespace

run_figures figures_of(const world& played, double from_ms) {
  run_figures all;
  const std::vector<double> sizes = mean_sizes(played);
  std::vector<std::vector<double>> firsts(sizes.size());
  all.kinds.resize(sizes.size());
  for (std::size_t i = 0; i < played.arrivals().size(); ++i) {
    const arrival& one = played.arrivals()[i];
    const fate& how = played.fates()[i];
    if (one.at_ms < from_ms)
      continue;
    count(all.kinds[one.kind], played.of().kinds[one.kind], how, size_of(one) / sizes[one.kind]);
    if (how.first_event_ms >= 0)
      firsts[one.kind].push_back(how.first_event_ms);
  }
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    kind_figures& kind = all.kinds[i];
    kind.name = played.of().kinds[i].name;
    kind.first_p50_ms = quantile(firsts[i], 0.5);
    kind.first_p99_ms = quantile(firsts[i], 0.99);
    kind.read = played.readings()[i];
    all.owed += kind.owed;
    all.earned += kind.earned;
    add(all.read, kind.read);
  }
  all.preemptions = played.preemptions();
  for (const engine& at : played.engines())
    all.tokens_read += at.tokens_read();
  return all;
}

run_figures mean_of(const std::vector<run_figures>& runs) {
  run_figures all = runs.front();
  for (std::size_t r = 1; r < runs.size(); ++r) {
    all.owed += runs[r].owed;
    all.earned += runs[r].earned;
    all.preemptions += runs[r].preemptions;
    all.tokens_read += runs[r].tokens_read;
    add(all.read, runs[r].read);
    for (std::size_t i = 0; i < all.kinds.size(); ++i) {
      kind_figures& to = all.kinds[i];
      const kind_figures& from = runs[r].kinds[i];
      to.requests += from.requests;
      to.in_time += from.in_time;
      to.late += from.late;
      to.refused += from.refused;
      to.left += from.left;
      to.owed += from.owed;
      to.earned += from.earned;
      to.first_p50_ms += from.first_p50_ms;
      to.first_p99_ms += from.first_p99_ms;
      add(to.read, from.read);
    }
  }
  for (kind_figures& kind : all.kinds) {
    kind.first_p50_ms /= static_cast<double>(runs.size());
    kind.first_p99_ms /= static_cast<double>(runs.size());
  }
  return all;
}

} // namespace sedgechute::pool
