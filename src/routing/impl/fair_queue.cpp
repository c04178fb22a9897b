#include "routing/impl/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

constexpr double ms_per_s = 1000.0;
constexpr double least_weight = 1e-6;
constexpr double least_cost = 1.0;
constexpr double output_gain = 0.1; // share of a new answer in the moving average
constexpr double rate_gain = 0.3;
constexpr time_ms rate_window{500};
constexpr std::size_t void_entries_kept = 64;

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

// A limit that is shared by hosts leaves each at least one, or a team with many quiet hosts could
// send nothing at all.
double part_of(double limit, double fraction) noexcept {
  return std::max(1.0, limit * fraction);
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
  weight = std::max(weight, least_weight);
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
  offer(slot);
}

void fair_queue::set_share(const team_id& team, double weight, double fraction, time_ms now) {
  const std::uint32_t slot = slot_of(team);
  team_state& state = teams_[slot];
  change_weight(state, weight);
  state.limits.fraction = std::clamp(fraction, 0.0, 1.0);
  apply_rates(state, now);
  offer(slot);
}

admission fair_queue::refuse(error_kind kind, time_ms retry_after) const noexcept {
  admission answer;
  answer.refusal = kind;
  answer.retry_after = std::clamp(retry_after, policy_.least_retry_after, policy_.most_retry_after);
  return answer;
}

// The wait is the shorter of two bounds: everything queued here goes first, or only the team's own
// earlier work does, at the rate that its weight assures it. `finish - virtual_time_` is service
// that the team has had in advance and must wait for.
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
                                                     part_of(limits.max_queued, limits.fraction);
  const bool too_much = limits.max_queued_cost > 0 && team.queued > 0 &&
                        team.queued_cost + work.cost >
                            part_of(static_cast<double>(limits.max_queued_cost), limits.fraction);
  if (too_many || too_much) {
    const bool at_concurrency =
        limits.max_running > 0 &&
        static_cast<double>(team.running) >= part_of(limits.max_running, limits.fraction);
    return refuse(at_concurrency ? error_kind::concurrency_limited : error_kind::queue_full, wait);
  }
  if (now + wait > work.deadline)
    return refuse(error_kind::deadline_unreachable, now + wait - work.deadline);

  admission answer;
  answer.admitted = true;
  answer.expected_wait = wait;
  return answer;
}

admission fair_queue::enqueue(const team_id& team, const queued_work& work, time_ms now) {
  const std::uint32_t slot = slot_of(team);
  queued_work checked = work;
  checked.cost = std::max(work.cost, least_cost);
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
    queue.owed = 0.0;
  }
  const entry place{work.deadline, sequence_, index};
  push(queue.heap, place);
  push(deadlines_, place);
  ++queue.waiting;
  queue.waiting_cost += work.cost;
  if (team.queued++ == 0) {
    queued_weight_ += team.weight;
    // An idle team saves no service up: it starts level with those who are being served.
    team.finish = std::max(team.finish, virtual_time_);
  }
  team.queued_cost += work.cost;
  ++queued_;
  queued_cost_ += work.cost;
  offer(slot);
}

void fair_queue::take_out(std::uint32_t index) {
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
  offer(taken.team);
}

void fair_queue::offer(std::uint32_t slot) {
  const team_state& team = teams_[slot];
  const team_limits& limits = team.limits;
  const bool at_limit = limits.max_running > 0 && static_cast<double>(team.running) >=
                                                      part_of(limits.max_running, limits.fraction);
  bool has_work = false;
  for (std::size_t c = 0; c < work_class_count; ++c) {
    has_work = has_work || team.classes[c].waiting > 0;
    if (has_work && !at_limit)
      ready_[c].set(slot, team.finish);
    else
      ready_[c].remove(slot);
  }
}

void fair_queue::drop_void(std::vector<entry>& heap) const {
  while (!heap.empty() && items_[heap.front().item].sequence != heap.front().sequence)
    pop(heap);
}

// The first class with work, unless a later one has been passed over for longer than its patience
// and is owed at least the cost of its next request.
std::size_t fair_queue::next_class(team_state& team, work_class last, time_ms now) {
  std::size_t first = work_class_count;
  for (std::size_t c = 0; c <= static_cast<std::size_t>(last); ++c) {
    class_queue& queue = team.classes[c];
    if (queue.waiting == 0)
      continue;
    drop_void(queue.heap);
    if (first == work_class_count) {
      first = c;
      continue;
    }
    const bool aged = now - queue.waiting_since > policy_.patience[c];
    if (aged && queue.owed >= items_[queue.heap.front().item].work.cost)
      return c;
  }
  return first;
}

std::optional<queue_head> fair_queue::head(time_ms now, work_class last) {
  const slot_heap& ready = ready_[static_cast<std::size_t>(last)];
  if (ready.empty())
    return std::nullopt;
  team_state& team = teams_[ready.top()];
  const class_queue& queue = team.classes[next_class(team, last, now)];
  const item& next = items_[queue.heap.front().item];
  return queue_head{next.work.ticket, next.work.kind, now - next.arrived};
}

std::optional<std::uint64_t> fair_queue::peek(time_ms now) {
  const auto next = head(now);
  return next ? std::optional{next->ticket} : std::nullopt;
}

void fair_queue::pay_owed(team_state& team, std::size_t served, double cost) const noexcept {
  for (std::size_t c = 0; c < work_class_count; ++c) {
    class_queue& queue = team.classes[c];
    if (c == served)
      queue.owed = std::max(0.0, queue.owed - cost);
    else if (queue.waiting > 0)
      queue.owed += cost * policy_.aged_share / (1.0 - policy_.aged_share);
  }
}

std::optional<work_grant> fair_queue::dequeue(time_ms now, work_class last) {
  const slot_heap& ready = ready_[static_cast<std::size_t>(last)];
  if (ready.empty())
    return std::nullopt;
  const std::uint32_t slot = ready.top();
  team_state& team = teams_[slot];
  const std::size_t kind = next_class(team, last, now);
  class_queue& queue = team.classes[kind];
  const std::uint32_t index = queue.heap.front().item;
  pop(queue.heap);
  const item& started = items_[index];
  const work_grant grant{started.work.ticket, slot, started.work.kind, started.work.cost,
                         now - started.arrived};
  virtual_time_ = std::max(virtual_time_, team.finish);
  team.finish += grant.cost / team.weight;
  team.started_cost += grant.cost;
  ++team.running;
  ++running_;
  running_cost_ += grant.cost;
  pay_owed(team, kind, grant.cost);
  take_out(index);
  note_service(grant.cost, now);
  return grant;
}

// The rate is learned only from spans in which there was always a queue; otherwise it would be the
// rate of arrivals.
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
  const double change = std::max(cost, least_cost) - grant.cost;
  grant.cost += change;
  team.finish += change / team.weight;
  team.started_cost += change;
  running_cost_ += change;
  team.cost_rate.take(change, now);
  offer(grant.team_slot);
}

void fair_queue::settle(const work_grant& grant, double cost, time_ms now) {
  work_grant last = grant;
  adjust(last, cost, now);
  team_state& team = teams_[grant.team_slot];
  --team.running;
  --running_;
  running_cost_ = running_ == 0 ? 0.0 : running_cost_ - last.cost;
  offer(grant.team_slot);
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
  take_out(found->second);
  return true;
}

// A started or cancelled request leaves its place in the heap of deadlines until that is on top;
// without this, a long deadline would keep every short request's place for minutes.
void fair_queue::compact_deadlines() {
  if (deadlines_.size() <= 2 * queued_ + void_entries_kept)
    return;
  std::erase_if(deadlines_,
                [this](const entry& e) { return items_[e.item].sequence != e.sequence; });
  std::make_heap(deadlines_.begin(), deadlines_.end(), later_deadline);
}

std::vector<std::uint64_t> fair_queue::expire(time_ms now) {
  std::vector<std::uint64_t> late;
  for (drop_void(deadlines_); !deadlines_.empty() && deadlines_.front().deadline < now;
       drop_void(deadlines_)) {
    const std::uint32_t index = deadlines_.front().item;
    late.push_back(items_[index].work.ticket);
    pop(deadlines_);
    take_out(index);
  }
  return late;
}

time_ms fair_queue::expected_wait(const team_id& team, work_class kind, time_ms /*now*/) const {
  const team_state* const state = find(team);
  return state == nullptr ? time_ms{0} : wait_of(*state, kind);
}

double fair_queue::expected_output(const team_id& team, work_class kind, double bound) const {
  const team_state* const state = find(team);
  const double usual =
      state == nullptr ? 0.0 : state->classes[static_cast<std::size_t>(kind)].usual_output;
  return usual <= 0.0 ? bound : std::min(usual, bound);
}

void fair_queue::learn_output(const team_id& team, work_class kind, double output) {
  class_queue& queue = teams_[slot_of(team)].classes[static_cast<std::size_t>(kind)];
  queue.usual_output = queue.usual_output <= 0.0
                           ? output
                           : queue.usual_output + output_gain * (output - queue.usual_output);
}

queue_figures fair_queue::figures() const noexcept {
  return {queued_, queued_cost_, running_, running_cost_, rate_};
}

std::vector<fair_queue::team_figures> fair_queue::teams() const {
  std::vector<team_figures> all;
  all.reserve(teams_.size());
  for (const team_state& team : teams_)
    all.push_back({team.id, team.limits.weight, team.queued, team.queued_cost, team.running,
                   team.started_cost, team.arrived_cost});
  return all;
}

} // namespace sedgechute
