#include "admission/impl/selective_shedding.hpp"

#include "admission/impl/capacity_shares.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000;

/// \returns a number in [0, 1)
double unit_of(std::uint64_t mark) noexcept {
  constexpr unsigned unused_bits = 11; // a double holds 53
  constexpr double scale = 1.0 / static_cast<double>(std::uint64_t{1} << 53U);
  return static_cast<double>(mark >> unused_bits) * scale;
}

} // namespace

double selective_shedding::kept(time_ms span) const noexcept {
  return std::exp(-static_cast<double>(std::max(span, time_ms{}).count()) /
                  static_cast<double>(options_.memory.count()));
}

selective_shedding::flow_state& selective_shedding::count(const request_flow& of, time_ms now) {
  auto at = std::ranges::find(flows_, of, &flow_state::flow);
  if (at == flows_.end()) {
    if (flows_.size() >= options_.max_flows)
      flows_.erase(std::ranges::min_element(
          flows_, {}, [&](const flow_state& one) { return one.recent * kept(now - one.counted); }));
    flows_.push_back({.flow = of, .counted = now});
    at = std::prev(flows_.end());
    changed_ = true;
  }
  at->recent = at->recent * kept(now - at->counted) + 1;
  at->counted = now;
  return *at;
}

void selective_shedding::count_served(time_ms now) noexcept {
  served_ = served_ * kept(now - served_at_) + 1;
  served_at_ = now;
}

void selective_shedding::note(const request_flow& of, time_ms now) {
  count(of, now);
  count_served(now);
}

// Each flow has a credit that grows by the part of its requests that is to be served. Unlike a draw
// for each request, that serves the part exactly, whatever few requests a flow has.
bool selective_shedding::refuses(const request_flow& of, std::uint64_t mark, double fraction,
                                 time_ms now) {
  flow_state& flow = count(of, now);
  if (fraction <= 0) {
    count_served(now);
    return false;
  }
  if (changed_ || fraction != fraction_ || now - recomputed_ >= options_.recompute_interval)
    recompute(fraction, now);
  flow.credit += flow.served_part;
  const bool served = flow.served_part >= 1 || flow.credit > unit_of(mark);
  if (!served)
    return true;
  flow.credit = std::clamp(flow.credit - 1, -1.0, 1.0);
  count_served(now);
  return false;
}

void selective_shedding::recompute(double fraction, time_ms now) {
  std::vector<flow_demand> demands;
  demands.reserve(flows_.size());
  double total = 0;
  for (const flow_state& one : flows_) {
    demands.push_back({one.flow.priority, one.recent * kept(now - one.counted)});
    total += demands.back().demand;
  }
  const std::vector<double> shares = share_capacity(demands, total * (1 - fraction));
  for (std::size_t i = 0; i < flows_.size(); ++i)
    flows_[i].served_part =
        demands[i].demand > 0 ? std::min(shares[i] / demands[i].demand, 1.0) : 1.0;
  fraction_ = fraction;
  recomputed_ = now;
  changed_ = false;
}

double selective_shedding::served_per_second(time_ms now) const noexcept {
  return served_ * kept(now - served_at_) * ms_per_second /
         static_cast<double>(options_.memory.count());
}

} // namespace sedgechute
