#include "routing/impl/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;
constexpr double min_weight = 1e-6;
constexpr double min_cost = 1.0;
constexpr double rate_gain = 0.3;
constexpr time_ms rate_window{500};
constexpr std::size_t stale_entries_kept = 64;

constexpr auto later_deadline = [](const auto& a, const auto& b) {
  return a.deadline != b.deadline ? a.deadline > b.deadline : a.sequence > b.sequence;
};

template <typename Entry>
void push(std::vector<Entry>& heap, const Entry& entry) {
  heap.push_back(entry);
  std::push_heap(heap.begin(), heap.end(), later_deadline);
}

template <typename Entry>
void pop(std::vector<Entry>& heap) {
  std::pop_heap(heap.begin(), heap.end(), later_deadline);
  heap.pop_back();
}

} // namespace

fair_queue::fair_queue(queue_policy policy) : policy_{policy} {}

std::uint32_t fair_queue::slot_of(const team_id& team) {
  const auto [found, added] = slots_.try_emplace(team, static_cast<std::uint32_t>(teams_.size()));
  if (added) {
    teams_.emplace_back();
    teams_.back().id = team;
  }
  return found->second;
}

const fair_queue::team_state* fair_queue::find(const team_id& team) const {
  const auto found = slots_.find(team);
  return found == slots_.end() ? nullptr : &teams_[found->second];
}

void fair_queue::apply_rates(team_state& team, time_ms now) {
  const team_limits& limits = team.limits;
  const double cost_rate = limits.tokens_per_s * limits.fraction;
  const double request_rate = limits.requests_per_s * limits.fraction;
  team.cost_rate.configure(cost_rate, cost_rate * limits.burst_s, now);
  team.request_rate.configure(request_rate, std::max(1.0, request_rate * limits.burst_s), now);
}

void fair_queue::change_weight(team_state& team, double weight) noexcept {
  weight = std::max(weight, min_weight);
  if (team.queued > 0)
    queued_weight_ += weight - team.weight;
  team.weight = weight;
}

void fair_queue::set_team(const team_id& team, const team_limits& limits, time_ms now) {
  const std::uint32_t slot = slot_of(team);
  team_state& state = teams_[slot];
  state.limits = limits;
  change_weight(state, limits.weight);
  apply_rates(state, now);
  update_ready(slot);
}

void fair_queue::set_share(const team_id& team, double weight, double fraction, time_ms now,
                           double excess) {
  const std::uint32_t slot = slot_of(team);
  team_state& state = teams_[slot];
  change_weight(state, weight);
  state.limits.fraction = std::clamp(fraction, 0.0, 1.0);
  state.excess = excess;
  apply_rates(state, now);
  update_ready(slot);
}

admission fair_queue::enqueue(const team_id& team, const queued_work& work, time_ms now) {
  const std::uint32_t slot = slot_of(team);
  queued_work checked = work;
  checked.cost = std::max(work.cost, min_cost);
  team_state& state = teams_[slot];
  state.arrived_cost += checked.cost;
  const admission answer = check(state, checked, now);
  if (!answer.admitted)
    return answer;
  state.request_rate.take(1.0, now);
  state.cost_rate.take(checked.cost, now);
  insert(slot, checked, now, now);
  return answer;
}

void fair_queue::insert(std::uint32_t slot, const queued_work& work, time_ms arrived, time_ms now) {
  std::uint32_t index = 0;
  if (free_items_.empty()) {
    index = static_cast<std::uint32_t>(items_.size());
    items_.emplace_back();
  } else {
    index = free_items_.back();
    free_items_.pop_back();
  }
  items_[index] = item{work, slot, arrived, ++sequence_};
  tickets_[work.ticket] = index;

  team_state& team = teams_[slot];
  class_queue& queue = team.classes[static_cast<std::size_t>(work.kind)];
  if (queue.waiting == 0) {
    queue.waiting_since = now;
    queue.deficit = 0.0;
  }
  const entry place{work.deadline, sequence_, index};
  push(queue.heap, place);
  push(deadlines_, place);
  ++queue.waiting;
  queue.waiting_cost += work.cost;
  if (team.queued++ == 0) {
    queued_weight_ += team.weight;
    // An idle team accumulates no credit: it resumes at the current virtual time.
    team.finish = std::max(team.finish, virtual_time_);
  }
  team.queued_cost += work.cost;
  ++queued_;
  queued_cost_ += work.cost;
  update_ready(slot);
}

void fair_queue::remove_item(std::uint32_t index) {
  item& taken = items_[index];
  team_state& team = teams_[taken.team];
  class_queue& queue = team.classes[static_cast<std::size_t>(taken.work.kind)];
  --queue.waiting;
  queue.waiting_cost = queue.waiting == 0 ? 0.0 : queue.waiting_cost - taken.work.cost;
  if (queue.waiting == 0)
    queue.heap.clear();
  if (--team.queued == 0) {
    queued_weight_ -= team.weight;
    team.queued_cost = 0.0;
  } else {
    team.queued_cost -= taken.work.cost;
  }
  --queued_;
  queued_cost_ = queued_ == 0 ? 0.0 : queued_cost_ - taken.work.cost;
  if (queued_ == 0) {
    queued_weight_ = 0.0;
    window_open_ = false;
  }
  tickets_.erase(taken.work.ticket);
  taken.sequence = 0;
  free_items_.push_back(index);
  compact_deadlines();
  update_ready(taken.team);
}

void fair_queue::update_ready(std::uint32_t slot) {
  const team_state& team = teams_[slot];
  const team_limits& limits = team.limits;
  const bool at_limit =
      limits.max_running > 0 &&
      static_cast<double>(team.running) >= host_limit(limits.max_running, limits.fraction);
  const bool beyond = team.excess > 0.0;
  bool has_work = false;
  for (std::size_t c = 0; c < work_class_count; ++c) {
    has_work = has_work || team.classes[c].waiting > 0;
    const auto kind = static_cast<work_class>(c);
    ready_[urgency_of(kind, !beyond)].remove(slot);
    slot_heap& ready = ready_[urgency_of(kind, beyond)];
    if (has_work && !at_limit)
      ready.set(slot, team.finish);
    else
      ready.remove(slot);
  }
}

// The demand of teams within their share is below the sum of their shares, so serving them first
// takes nothing from teams beyond theirs. By virtual time alone, the charge for a small team's long
// request would delay its next interactive one for seconds.
std::optional<std::uint32_t> fair_queue::next_team(const queue_filter& filter) const {
  const slot_heap& within = ready_[urgency_of(filter.last, false)];
  if (!within.empty())
    return within.top();
  const slot_heap& beyond = ready_[urgency_of(filter.last, true)];
  return !filter.beyond_share || beyond.empty() ? std::nullopt : std::optional{beyond.top()};
}

void fair_queue::pop_stale(std::vector<entry>& heap) const {
  while (!heap.empty() && items_[heap.front().item].sequence != heap.front().sequence)
    pop(heap);
}

// Returns the most urgent class with waiting requests, unless a later one has waited longer than
// its patience and its deficit covers the cost of its next request.
std::size_t fair_queue::next_class(team_state& team, work_class last, time_ms now) {
  std::size_t first = work_class_count;
  for (std::size_t c = 0; c <= static_cast<std::size_t>(last); ++c) {
    class_queue& queue = team.classes[c];
    if (queue.waiting == 0)
      continue;
    pop_stale(queue.heap);
    if (first == work_class_count) {
      first = c;
      continue;
    }
    const bool aged = now - queue.waiting_since > policy_.aging_delay[c];
    if (aged && queue.deficit >= items_[queue.heap.front().item].work.cost)
      return c;
  }
  return first;
}

std::optional<queue_head> fair_queue::head(time_ms now, const queue_filter& filter) {
  const auto slot = next_team(filter);
  if (!slot)
    return std::nullopt;
  team_state& team = teams_[*slot];
  const class_queue& queue = team.classes[next_class(team, filter.last, now)];
  const item& next = items_[queue.heap.front().item];
  return queue_head{next.work.ticket, next.work.kind, team.excess > 0.0, team.excess,
                    now - next.arrived};
}

std::optional<std::uint64_t> fair_queue::peek(time_ms now) {
  const auto next = head(now);
  return next ? std::optional{next->ticket} : std::nullopt;
}

void fair_queue::update_deficits(team_state& team, std::size_t served, double cost) const noexcept {
  for (std::size_t c = 0; c < work_class_count; ++c) {
    class_queue& queue = team.classes[c];
    if (c == served)
      queue.deficit = std::max(0.0, queue.deficit - cost);
    else if (queue.waiting > 0)
      queue.deficit += cost * policy_.aged_share / (1.0 - policy_.aged_share);
  }
}

std::optional<work_grant> fair_queue::dequeue(time_ms now, const queue_filter& filter) {
  const auto next = next_team(filter);
  if (!next)
    return std::nullopt;
  const std::uint32_t slot = *next;
  team_state& team = teams_[slot];
  const std::size_t kind = next_class(team, filter.last, now);
  class_queue& queue = team.classes[kind];
  const std::uint32_t index = queue.heap.front().item;
  pop(queue.heap);
  const item& started = items_[index];
  const work_grant grant{started.work.ticket, slot,
                         started.work.kind,   started.work.cost,
                         team.excess > 0.0,   now - started.arrived};
  const bool ahead_of_turn = team.excess <= 0.0 && !ready_[urgency_of(filter.last, true)].empty();
  if (!ahead_of_turn)
    virtual_time_ = std::max(virtual_time_, team.finish);
  team.finish += grant.cost / team.weight;
  team.started_cost += grant.cost;
  ++team.running;
  ++running_;
  running_cost_ += grant.cost;
  update_deficits(team, kind, grant.cost);
  remove_item(index);
  note_service(grant.cost, now);
  return grant;
}

// The service rate is measured only while requests wait; otherwise it would be the arrival rate.
void fair_queue::note_service(double cost, time_ms now) noexcept {
  if (queued_ == 0)
    return;
  if (!window_open_) {
    window_open_ = true;
    window_start_ = now;
    window_cost_ = 0.0;
    return;
  }
  window_cost_ += cost;
  const time_ms elapsed = now - window_start_;
  if (elapsed < rate_window)
    return;
  const double rate = window_cost_ * ms_per_s / static_cast<double>(elapsed.count());
  rate_ = rate_ <= 0.0 ? rate : rate_ + rate_gain * (rate - rate_);
  window_start_ = now;
  window_cost_ = 0.0;
}

void fair_queue::adjust(work_grant& grant, double cost, time_ms now) {
  team_state& team = teams_[grant.team_slot];
  const double change = std::max(cost, min_cost) - grant.cost;
  grant.cost += change;
  team.finish += change / team.weight;
  team.started_cost += change;
  running_cost_ += change;
  team.cost_rate.take(change, now);
  update_ready(grant.team_slot);
}

void fair_queue::settle(const work_grant& grant, double cost, time_ms now) {
  work_grant last = grant;
  adjust(last, cost, now);
  team_state& team = teams_[grant.team_slot];
  --team.running;
  --running_;
  running_cost_ = running_ == 0 ? 0.0 : running_cost_ - last.cost;
  update_ready(grant.team_slot);
}

void fair_queue::put_back(const work_grant& grant, time_ms deadline, time_ms now) {
  team_state& team = teams_[grant.team_slot];
  team.finish -= grant.cost / team.weight;
  team.started_cost -= grant.cost;
  --team.running;
  --running_;
  running_cost_ = running_ == 0 ? 0.0 : running_cost_ - grant.cost;
  insert(grant.team_slot, {grant.ticket, grant.kind, grant.cost, deadline}, now - grant.waited,
         now);
}

bool fair_queue::cancel(std::uint64_t ticket) {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end())
    return false;
  remove_item(found->second);
  return true;
}

// The entry of a started or cancelled request stays in the deadline heap until it reaches the top.
// Without compaction, one distant deadline would retain the entries of all later ones for minutes.
void fair_queue::compact_deadlines() {
  if (deadlines_.size() <= 2 * queued_ + stale_entries_kept)
    return;
  std::erase_if(deadlines_,
                [this](const entry& e) { return items_[e.item].sequence != e.sequence; });
  std::make_heap(deadlines_.begin(), deadlines_.end(), later_deadline);
}

std::vector<std::uint64_t> fair_queue::expire(time_ms now) {
  std::vector<std::uint64_t> late;
  for (pop_stale(deadlines_); !deadlines_.empty() && deadlines_.front().deadline < now;
       pop_stale(deadlines_)) {
    const std::uint32_t index = deadlines_.front().item;
    late.push_back(items_[index].work.ticket);
    pop(deadlines_);
    remove_item(index);
  }
  return late;
}

} // namespace sedgechute
