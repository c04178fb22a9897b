#include "admission/impl/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sedgechute {

namespace {

// Each waiting priority gets one of them. A tenth is promised; service times are estimates.
constexpr std::size_t guaranteed_parts = 9;
// Part of the queue from which no priority is displaced by others.
constexpr std::size_t reserved_divisor = 10;
constexpr double ms_per_second = 1000;
constexpr double cost_weight = 0.1; // of one request in the mean service time
// A drain rate from less says too little to refuse anything.
constexpr double min_served = 3;
constexpr double min_busy_ms = 50;

double cost_of(const queued_request& request) noexcept {
  return std::max(1.0, static_cast<double>(request.service_time.count()));
}

/// \returns a key by which requests of one team are ordered
auto order_of(const admission_queue::waiting& one) noexcept {
  return std::tuple{!one.request.returning, one.request.latest_start(), one.ticket};
}

} // namespace

void admission_queue::drain::advance(bool waiting, time_ms memory, time_ms now) noexcept {
  const auto span = static_cast<double>((now - counted).count());
  if (span <= 0)
    return;
  counted = now;
  const auto memory_ms = static_cast<double>(memory.count());
  const double kept = std::exp(-span / memory_ms);
  served *= kept;
  busy_ms *= kept;
  if (waiting)
    busy_ms += memory_ms * (1 - kept);
}

std::optional<double> admission_queue::drain::per_second() const noexcept {
  if (served < min_served || busy_ms < min_busy_ms)
    return std::nullopt;
  return served / busy_ms * ms_per_second;
}

void admission_queue::advance(time_ms now) {
  all_.advance(!entries_.empty(), options_.memory, now);
  for (auto& [priority, of] : drains_)
    of.advance(priorities_.contains(priority), options_.memory, now);
}

std::size_t admission_queue::count(int priority) const noexcept {
  return static_cast<std::size_t>(std::ranges::count_if(
      entries_, [&](const waiting& one) { return one.request.flow.priority == priority; }));
}

std::size_t admission_queue::count(const request_flow& flow) const noexcept {
  return static_cast<std::size_t>(std::ranges::count_if(
      entries_, [&](const waiting& one) { return one.request.flow == flow; }));
}

// The rate of the request's own priority shows what higher ones take, also those that arrive later.
// The root is the spread of the count: by the mean alone, a quarter of the refusals come after a
// wait.
double admission_queue::expected_wait(const queued_request& request) const {
  std::map<std::string, std::size_t> of_teams;
  std::size_t own = 0;
  for (const waiting& one : entries_) {
    if (one.request.flow.priority != request.flow.priority)
      continue;
    if (one.request.flow.team != request.flow.team)
      ++of_teams[one.request.flow.team];
    else if (one.request.returning == request.returning)
      own += one.request.latest_start() <= request.latest_start() ? 1 : 0;
    else
      own += one.request.returning ? 1 : 0;
  }
  std::size_t before = own;
  for (const auto& [team, waits] : of_teams)
    before += std::min(waits, own);
  const auto found = drains_.find(request.flow.priority);
  const auto rate = found == drains_.end() ? std::nullopt : found->second.per_second();
  if (before == 0)
    return 0;
  const auto counted = static_cast<double>(before) + 1; // it is the next after those
  return rate ? (counted + std::sqrt(counted)) / *rate * ms_per_second : 0;
}

queue_admission admission_queue::enter(const queued_request& request, time_ms now) {
  advance(now);
  const auto left = static_cast<double>((request.latest_start() - now).count());
  if (left < 0 || expected_wait(request) > left)
    return {.refused = queue_refusal::late};
  queue_admission result;
  if (entries_.size() >= options_.max_waiting) {
    const auto yielding = find_yielding(request);
    if (!yielding)
      return {.refused = queue_refusal::full};
    result.yielded = entries_[*yielding].ticket;
    remove(*yielding);
  }
  result.ticket = ++last_;
  entries_.push_back({last_, request});
  priorities_.try_emplace(request.flow.priority);
  drains_.try_emplace(request.flow.priority).first->second.advance(false, options_.memory, now);
  return result;
}

// The lowest priority that has more than its reserved part makes room, and in it the team with the
// most requests. A priority below its reserved part may also displace requests of a higher one.
std::optional<std::size_t> admission_queue::find_yielding(const queued_request& request) const {
  const std::size_t reserved = std::max<std::size_t>(1, options_.max_waiting / reserved_divisor);
  const int own = request.flow.priority;
  const bool entitled = count(own) < reserved;
  std::optional<int> from;
  for (auto at = priorities_.rbegin(); at != priorities_.rend() && !from; ++at)
    if (count(at->first) > reserved)
      from = at->first;
  if (!from || (*from < own && !entitled))
    return std::nullopt;
  const std::size_t own_after = count(request.flow) + 1;
  std::optional<std::size_t> found;
  std::size_t most = 0;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const waiting& one = entries_[i];
    if (one.request.flow.priority != *from)
      continue;
    const std::size_t waits = count(one.request.flow);
    if (waits < most || (waits == most && found && order_of(one) < order_of(entries_[*found])))
      continue;
    most = waits;
    found = i;
  }
  if (!found || *from != own)
    return found;
  const queued_request& last = entries_[*found].request;
  const bool same_team = last.flow == request.flow;
  if (same_team ? request.returning && !last.returning : most > own_after)
    return found;
  return std::nullopt;
}

std::vector<queue_ticket> admission_queue::take_late(time_ms now) {
  advance(now);
  std::vector<queue_ticket> late;
  for (std::size_t i = entries_.size(); i-- > 0;) {
    if (entries_[i].request.latest_start() >= now)
      continue;
    late.push_back(entries_[i].ticket);
    remove(i);
  }
  return late;
}

void admission_queue::leave(queue_ticket ticket, time_ms now) {
  advance(now);
  const auto at = std::ranges::find(entries_, ticket, &waiting::ticket);
  if (at != entries_.end())
    remove(static_cast<std::size_t>(at - entries_.begin()));
}

std::vector<queue_ticket> admission_queue::next(std::size_t free, time_ms now) {
  advance(now);
  std::vector<queue_ticket> going;
  while (going.size() < free) {
    const auto chosen = choose();
    if (!chosen)
      break;
    going.push_back(entries_[*chosen].ticket);
    all_.served += 1;
    drains_.at(entries_[*chosen].request.flow.priority).served += 1;
    remove(*chosen);
  }
  return going;
}

// A priority is served for its credit once that covers a usual request, and pays what the request
// costs: if it had to save for a large one, large requests of low priority would never be served.
std::optional<std::size_t> admission_queue::choose() {
  if (entries_.empty())
    return std::nullopt;
  int chosen = priorities_.begin()->first;
  double most = std::max(usual_cost_, 1.0);
  bool by_credit = false;
  for (auto at = std::next(priorities_.begin()); at != priorities_.end(); ++at) {
    if (at->second.credit < most || (by_credit && at->second.credit == most))
      continue;
    most = at->second.credit;
    chosen = at->first;
    by_credit = true;
  }
  const std::size_t index = first_of(chosen);
  charge(entries_[index].request, by_credit);
  return index;
}

std::size_t admission_queue::first_of(int priority) const {
  const priority_state& of = priorities_.at(priority);
  const auto begin_of = [&](const waiting& one) {
    const auto used = of.used.find(one.request.flow.team);
    return used == of.used.end() ? of.virtual_time : std::max(used->second, of.virtual_time);
  };
  std::optional<std::size_t> first;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].request.flow.priority != priority)
      continue;
    if (!first || std::tuple{begin_of(entries_[i]), order_of(entries_[i])} <
                      std::tuple{begin_of(entries_[*first]), order_of(entries_[*first])})
      first = i;
  }
  return first.value();
}

void admission_queue::charge(const queued_request& served, bool by_credit) {
  const double cost = cost_of(served);
  usual_cost_ = usual_cost_ == 0 ? cost : usual_cost_ + (cost - usual_cost_) * cost_weight;
  const auto parts = static_cast<double>(std::max(priorities_.size(), guaranteed_parts));
  for (auto at = std::next(priorities_.begin()); at != priorities_.end(); ++at)
    at->second.credit += cost / parts;
  priority_state& of = priorities_.at(served.flow.priority);
  if (by_credit)
    of.credit -= cost;
  double& used = of.used[served.flow.team];
  of.virtual_time = std::max(used, of.virtual_time);
  used = of.virtual_time + cost;
}

// Service time is owed only to requests that wait.
void admission_queue::remove(std::size_t index) {
  const int priority = entries_[index].request.flow.priority;
  entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index));
  if (count(priority) == 0)
    priorities_.erase(priority);
}

} // namespace sedgechute
