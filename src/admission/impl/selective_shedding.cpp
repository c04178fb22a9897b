#include "admission/impl/selective_shedding.hpp"

#include "admission/impl/capacity_shares.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double ms_per_second = 1000;
// Part of a flow's share for which callers are told to return. Those of other hosts' callers that
// come here arrive at random, so a host gets more of them at times than it can serve.
constexpr double returns_part = 0.6;
// Callers whose flow has no turn for them within this part of the time that they can wait, because
// the higher priorities leave it little, return after that, when the load may have fallen, at this
// part of the host's capacity: the usual load needs the rest.
constexpr double late_from_part = 2.0 / 3;
constexpr double late_part = 0.65;
// Returning requests that a flow is served ahead of its share, in seconds of the share; new
// requests are refused for them afterwards. With less, returning requests that arrive in a group
// are refused again; with more, a team gains by sending requests that look like returning ones.
constexpr double ahead_seconds = 0.6;
constexpr double least_ahead = 8; // requests; a small flow often gets several returns at a time
// Time constant of the debt of a flow that was served ahead, while all requests are served.
// Shorter, a team would gain by overdrawing its share again after each pause of the overload.
constexpr double debt_memory_ms = 60000;

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

selective_shedding::flow_state& selective_shedding::find_or_add(const request_flow& of,
                                                                time_ms now) {
  auto at = std::ranges::find(flows_, of, &flow_state::flow);
  if (at == flows_.end()) {
    if (flows_.size() >= options_.max_flows)
      flows_.erase(std::ranges::min_element(
          flows_, {}, [&](const flow_state& one) { return one.recent * kept(now - one.counted); }));
    flows_.push_back({.flow = of, .counted = now});
    at = std::prev(flows_.end());
    changed_ = true;
  }
  return *at;
}

selective_shedding::flow_state& selective_shedding::count(const request_flow& of, bool shedding,
                                                          time_ms now) {
  flow_state& flow = find_or_add(of, now);
  flow.recent = flow.recent * kept(now - flow.counted) + 1;
  if (!shedding && flow.credit < 0)
    flow.credit *= std::exp(-static_cast<double>((now - flow.counted).count()) / debt_memory_ms);
  flow.counted = now;
  return flow;
}

double selective_shedding::share_per_second(const flow_state& of, time_ms now) const noexcept {
  return of.served_part * of.recent * kept(now - of.counted) * ms_per_second /
         static_cast<double>(options_.memory.count());
}

void selective_shedding::note(const request_flow& of, time_ms now) {
  count(of, false, now);
}

// Each flow has a credit that grows by the part of its requests that is to be served. Unlike a draw
// for each request, that serves the part exactly, whatever few requests a flow has. Returning
// requests may overdraw the credit, so new ones are refused in their place.
bool selective_shedding::refuses(const request_flow& of, std::uint64_t mark, double fraction,
                                 time_ms now, bool returning) {
  flow_state& flow = count(of, fraction > 0, now);
  if (fraction <= 0)
    return false;
  if (changed_ || fraction != fraction_ || now - recomputed_ >= options_.recompute_interval)
    recompute(fraction, now);
  flow.credit += flow.served_part;
  const double ahead = std::max(least_ahead, share_per_second(flow, now) * ahead_seconds);
  const double least_credit = returning ? -ahead : 0;
  const bool served = flow.served_part >= 1 || flow.credit > least_credit + unit_of(mark);
  if (!served)
    return true;
  flow.credit = std::clamp(flow.credit - 1, -ahead - 1, 1.0);
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
  capacity_ = total * (1 - fraction);
  const std::vector<double> shares = share_capacity(demands, capacity_);
  for (std::size_t i = 0; i < flows_.size(); ++i)
    flows_[i].served_part =
        demands[i].demand > 0 ? std::min(shares[i] / demands[i].demand, 1.0) : 1.0;
  fraction_ = fraction;
  recomputed_ = now;
  changed_ = false;
}

// A flow's late turns come after all its turns within its share, so one flow's callers return in
// the order in which they were refused.
time_ms selective_shedding::return_after(const request_flow& of, refused_call call, time_ms now) {
  flow_state& flow = find_or_add(of, now);
  const time_ms longest = std::max(call.longest, call.earliest);
  const time_ms late_from = std::max(
      call.earliest,
      time_ms{static_cast<std::int64_t>(static_cast<double>(longest.count()) * late_from_part)});
  call.served_per_second = share_per_second(flow, now) * returns_part;
  call.longest = late_from;
  if (const auto turn = flow.returns.turn(call, now))
    return *turn;
  call.earliest = late_from;
  call.longest = longest;
  call.served_per_second =
      capacity_ * late_part * ms_per_second / static_cast<double>(options_.memory.count());
  return flow.returns.take(late_returns_.next(call, now), longest, now);
}

} // namespace sedgechute
