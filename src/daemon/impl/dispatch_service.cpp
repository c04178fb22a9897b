#include "daemon/impl/dispatch_service.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::chrono::milliseconds abandoned_check{100};
constexpr int last_interactive_priority = 2;
constexpr int last_standard_priority = 6;
constexpr std::uint64_t bytes_per_token = 4;
// Reports of endpoints in other data centres come each few rounds; one without any for so long is
// down, or cut off from every host.
constexpr time_ms report_life{20000};

work_class class_of(int priority) noexcept {
  if (priority <= last_interactive_priority)
    return work_class::interactive;
  return priority <= last_standard_priority ? work_class::standard : work_class::long_running;
}

std::string refusal_text(error_kind kind) {
  return std::string{answer_for(kind).meaning};
}

attempt_outcome outcome_of(turn_outcome outcome) noexcept {
  switch (outcome) {
  case turn_outcome::answered:
    return attempt_outcome::completed;
  case turn_outcome::caller_left:
    return attempt_outcome::cancelled;
  case turn_outcome::not_run:
  case turn_outcome::lost:
    return attempt_outcome::connect_failed;
  case turn_outcome::failed:
    break;
  }
  return attempt_outcome::failed;
}

bool is_drained(const fleet_settings* fleet, const endpoint_id& id) {
  if (fleet == nullptr)
    return false;
  const auto& drained = fleet->drained_endpoints;
  return std::find(drained.begin(), drained.end(), id) != drained.end();
}

} // namespace

dispatch_service::dispatch_service(data_centre_id here, const clock& time, std::uint64_t seed,
                                   contract_source contracts)
    : here_{std::move(here)}, time_{time}, random_{seed}, contracts_{std::move(contracts)} {}

dispatch_service::pool_state& dispatch_service::pool(const pool_id& id) {
  const auto [found, fresh] = pools_.try_emplace(id);
  if (fresh)
    for (const auto& [team, known] : teams_)
      found->second.queue.set_team(team, known.limits, time_.now());
  return found->second;
}

// An endpoint is leaving as soon as any of the three sources says so: the list, its own word, or
// the settings. Waiting for the slowest would send it work that its stop then cuts off.
void dispatch_service::on_host_list(const host_listing& list) {
  const std::scoped_lock lock{mutex_};
  std::map<endpoint_id, host_list_entry> now_listed;
  entry_hosts_.clear();
  for (const host_list_entry& entry : list.hosts) {
    if (entry.kind != listed_kind::endpoint) {
      entry_hosts_.push_back(entry);
      continue;
    }
    const endpoint_id id{entry.name};
    now_listed.emplace(id, entry);
    table_.add({id, entry.pool, entry.data_centre});
    table_.set_leaving(id, is_leaving(entry));
  }
  for (const auto& [id, entry] : listed_)
    if (!now_listed.contains(id)) {
      table_.remove(id);
      reports_.erase(id);
    }
  listed_ = std::move(now_listed);
  for (auto& [id, state] : pools_)
    pump(state);
}

void dispatch_service::on_fleet(std::shared_ptr<const fleet_settings> fleet) {
  const std::scoped_lock lock{mutex_};
  fleet_ = std::move(fleet);
  for (const pool_settings& settings : fleet_->pools)
    (void)pool(settings.name);
  for (const auto& [id, entry] : listed_)
    if (is_drained(fleet_.get(), id))
      table_.set_leaving(id, true);
}

// Limits are fetched when a team has work, not when its contract is published: of hundreds of
// thousands of contracts, a host meets a few hundred.
void dispatch_service::learn_team(const access_grant& grant) {
  {
    const std::scoped_lock lock{mutex_};
    const auto known = teams_.find(grant.team);
    if (known != teams_.end() && known->second.revision >= grant.contract_revision)
      return;
  }
  const std::shared_ptr<const contract> agreed = contracts_(grant.team);
  if (!agreed)
    return;
  team_limits limits;
  limits.weight = static_cast<double>(agreed->share);
  limits.tokens_per_s = static_cast<double>(agreed->limits.tokens_per_s);
  limits.requests_per_s = static_cast<double>(agreed->limits.requests_per_s);
  limits.max_running = static_cast<std::uint32_t>(agreed->limits.concurrency);
  limits.max_queued = static_cast<std::uint32_t>(agreed->limits.queue_length);
  const std::scoped_lock lock{mutex_};
  teams_[grant.team] = {grant.contract_revision, limits};
  for (auto& [id, state] : pools_)
    state.queue.set_team(grant.team, limits, time_.now());
}

void dispatch_service::on_load(const endpoint_id& endpoint, const load_report& report) {
  const std::scoped_lock lock{mutex_};
  table_.apply_report(endpoint, report, time_.now());
  table_.reachable(endpoint);
  if (listed_.contains(endpoint))
    reports_[endpoint] = {report, time_.now()};
}

bool dispatch_service::is_leaving(const host_list_entry& entry) const {
  const endpoint_id id{entry.name};
  const auto own_word = own_word_leaving_.find(id);
  return entry.state == listed_state::leaving || is_drained(fleet_.get(), id) ||
         (own_word != own_word_leaving_.end() && own_word->second);
}

std::vector<reported_engine> dispatch_service::reported_engines(const pool_id& pool) const {
  const std::scoped_lock lock{mutex_};
  std::vector<reported_engine> engines;
  for (const auto& [id, entry] : listed_) {
    if (entry.pool != pool)
      continue;
    reported_engine engine{id, entry.data_centre, entry.address, is_leaving(entry), false, {}};
    const auto heard = reports_.find(id);
    if (heard != reports_.end()) {
      engine.report = heard->second.report;
      engine.heard = engine.report.loaded_known && time_.now() - heard->second.at < report_life;
    }
    engines.push_back(std::move(engine));
  }
  return engines;
}

void dispatch_service::on_leaving(const endpoint_id& endpoint, bool leaving) {
  const std::scoped_lock lock{mutex_};
  own_word_leaving_[endpoint] = leaving;
  const auto listed = listed_.find(endpoint);
  table_.set_leaving(endpoint, listed == listed_.end() ? leaving : is_leaving(listed->second));
}

void dispatch_service::on_cache_event(const endpoint_id& endpoint, std::uint64_t block,
                                      bool stored) {
  const std::scoped_lock lock{mutex_};
  table_.apply_cache_event(endpoint, block, stored, time_.now());
}

void dispatch_service::on_cache_gap(const endpoint_id& endpoint, std::uint64_t missed) {
  const std::scoped_lock lock{mutex_};
  table_.note_cache_gap(endpoint, missed);
}

void dispatch_service::tick() {
  const std::scoped_lock lock{mutex_};
  for (auto& [id, state] : pools_)
    if (!state.waiting.empty())
      pump(state);
}

void dispatch_service::review() {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  table_.review(now);
  quarantine_.expire(now);
}

std::vector<host_list_entry> dispatch_service::endpoints() const {
  const std::scoped_lock lock{mutex_};
  std::vector<host_list_entry> all;
  all.reserve(listed_.size());
  for (const auto& [id, entry] : listed_)
    all.push_back(entry);
  return all;
}

std::vector<host_list_entry> dispatch_service::entry_hosts() const {
  const std::scoped_lock lock{mutex_};
  return entry_hosts_;
}

std::string dispatch_service::address_of(const endpoint_id& endpoint) const {
  const std::scoped_lock lock{mutex_};
  const auto found = listed_.find(endpoint);
  return found == listed_.end() ? "" : found->second.address;
}

quarantine_news dispatch_service::take_news() {
  const std::scoped_lock lock{mutex_};
  return quarantine_.take_news();
}

void dispatch_service::merge(const quarantine_news& news) {
  const std::scoped_lock lock{mutex_};
  quarantine_.merge(news, time_.now());
}

dispatch_turn dispatch_service::acquire(const dispatch_request& request,
                                        const std::function<bool()>& abandoned) {
  learn_team(request.grant);
  auto self = std::make_shared<waiter>();
  self->request = &request;
  self->need.pool = request.grant.pool;
  self->need.kind = class_of(request.grant.priority);
  self->need.model = {request.model, {}};
  self->need.prompt_tokens = static_cast<std::uint32_t>(request.prompt_bytes / bytes_per_token);
  self->need.blocks = request.prefix_blocks;
  self->need.avoid = request.avoid;

  std::unique_lock lock{mutex_};
  const content_standing standing = quarantine_.standing(request.fingerprint);
  if (standing == content_standing::quarantined)
    throw error{error_kind::quarantined, "", ""};
  self->need.suspect = standing == content_standing::suspect ? request.fingerprint : 0;
  pool_state& state = pool(request.grant.pool);
  const double output = state.queue.expected_output(request.grant.team, self->need.kind,
                                                    static_cast<double>(request.output_bound));
  self->need.output_tokens = static_cast<std::uint32_t>(output);
  self->ticket = next_ticket_++;
  const time_ms now = time_.now();
  const admission admitted =
      state.queue.enqueue(request.grant.team,
                          {self->ticket, self->need.kind, self->need.prompt_tokens + output + 1.0,
                           request.accepted + request.grant.deadline},
                          now);
  if (!admitted.admitted)
    throw error{admitted.refusal, request.grant.pool.str(), refusal_text(admitted.refusal),
                admitted.retry_after};
  state.waiting.emplace(self->ticket, self);
  pump(state);
  while (!self->attempt && !self->refused) {
    self->decided.wait_for(lock, abandoned_check);
    if (self->attempt || self->refused)
      break;
    lock.unlock();
    const bool gone = abandoned();
    lock.lock();
    if (gone && !self->attempt && !self->refused) {
      state.queue.cancel(self->ticket);
      state.waiting.erase(self->ticket);
      throw error{error_kind::caller_gone, "", ""};
    }
  }
  state.waiting.erase(self->ticket);
  if (self->refused)
    throw error{*self->refused, request.grant.pool.str(), refusal_text(*self->refused)};
  return begin_turn(request.grant.pool, *self);
}

dispatch_turn dispatch_service::begin_turn(const pool_id& pool, const waiter& ready) {
  running_.emplace(ready.ticket, running{pool, *ready.grant, *ready.attempt,
                                         ready.request->fingerprint, time_.now()});
  const auto listed = listed_.find(ready.endpoint);
  const std::string address = listed == listed_.end() ? "" : listed->second.address;
  return {ready.ticket, ready.endpoint, address};
}

void dispatch_service::pump(pool_state& state) {
  const time_ms now = time_.now();
  for (const std::uint64_t ticket : state.queue.expire(now)) {
    const auto found = state.waiting.find(ticket);
    if (found == state.waiting.end())
      continue;
    found->second->refused = error_kind::deadline_unreachable;
    found->second->decided.notify_all();
  }
  while (const auto ticket = state.queue.peek(now)) {
    const auto found = state.waiting.find(*ticket);
    if (found == state.waiting.end()) {
      state.queue.cancel(*ticket);
      continue;
    }
    waiter& next = *found->second;
    const auto choice = choose_endpoint(table_, next.need, here_, random_, now);
    if (!choice && !next.need.avoid.empty()) {
      // Everything that could run it has failed it already: waiting cannot help this request.
      state.queue.cancel(*ticket);
      next.refused = error_kind::no_capacity;
      next.decided.notify_all();
      continue;
    }
    if (!choice || !may_start(state.queue, *choice))
      return;
    start(state, next, *choice);
  }
}

void dispatch_service::start(pool_state& state, waiter& next, const route_choice& choice) {
  const time_ms now = time_.now();
  next.grant = state.queue.dequeue(now);
  next.attempt = table_.start(choice, next.need, now);
  next.endpoint = choice.endpoint;
  next.decided.notify_all();
}

void dispatch_service::release(const dispatch_turn& turn, const dispatch_request& request,
                               const turn_report& report) {
  const std::scoped_lock lock{mutex_};
  const auto found = running_.find(turn.number);
  if (found == running_.end())
    return;
  running ended = found->second;
  running_.erase(found);
  const time_ms now = time_.now();
  pool_state& state = pool(ended.pool);
  route_need need;
  need.pool = ended.pool;
  need.kind = class_of(request.grant.priority);
  need.model = {request.model, {}};
  need.prompt_tokens = static_cast<std::uint32_t>(report.usage.prompt_tokens);
  need.blocks = request.prefix_blocks;
  if (report.first_token)
    table_.first_token(ended.attempt, ended.started + *report.first_token);
  std::optional<std::uint32_t> cached;
  if (report.outcome == turn_outcome::answered)
    cached = static_cast<std::uint32_t>(report.usage.cached_tokens);
  table_.end(ended.attempt, need,
             {outcome_of(report.outcome),
              static_cast<std::uint32_t>(report.usage.completion_tokens), cached},
             now);
  state.queue.settle(ended.grant, static_cast<double>(report.usage.total()), now);
  if (report.outcome == turn_outcome::answered) {
    state.retries.note_success(now);
    state.queue.learn_output(request.grant.team, need.kind,
                             static_cast<double>(report.usage.completion_tokens));
    quarantine_.note_survived(request.fingerprint, now - ended.started, true, now);
  } else if (report.outcome == turn_outcome::failed || report.outcome == turn_outcome::lost) {
    note_failure(ended, turn.endpoint);
  }
  pump(state);
}

// The runs that this host still has on the endpoint are evidence as well: one of them, not the one
// that reported first, may be what ended it.
void dispatch_service::note_failure(const running& ended, const endpoint_id& endpoint) {
  const time_ms now = time_.now();
  std::vector<cut_run> runs{{ended.fingerprint, now - ended.started}};
  for (const auto& [number, other] : running_)
    if (other.attempt.slot == ended.attempt.slot && other.attempt.life == ended.attempt.life)
      runs.push_back({other.fingerprint, now - other.started});
  quarantine_.note_death(endpoint, ended.attempt.life, runs, now);
}

std::optional<time_ms> dispatch_service::retry_after_failure(const dispatch_request& request,
                                                             int attempts) {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  if (now >= request.accepted + request.grant.deadline)
    return std::nullopt;
  if (!pool(request.grant.pool).retries.spend(now))
    return std::nullopt;
  return backoff(retry_policy_, static_cast<std::uint32_t>(attempts), random_);
}

dispatch_service::pool_figures dispatch_service::figures(const pool_id& id) const {
  const std::scoped_lock lock{mutex_};
  const auto found = pools_.find(id);
  if (found == pools_.end())
    return {};
  return {found->second.queue.figures(), table_.load_of(id)};
}

std::vector<fair_queue::team_figures> dispatch_service::teams(const pool_id& id) const {
  const std::scoped_lock lock{mutex_};
  const auto found = pools_.find(id);
  if (found == pools_.end())
    return {};
  return found->second.queue.teams();
}

std::size_t dispatch_service::quarantined() const {
  const std::scoped_lock lock{mutex_};
  const auto records = quarantine_.records(time_.now());
  return static_cast<std::size_t>(std::count_if(
      records.begin(), records.end(), [](const quarantine_record& one) { return !one.lifted; }));
}

std::vector<pool_id> dispatch_service::pools() const {
  const std::scoped_lock lock{mutex_};
  std::vector<pool_id> ids;
  for (const auto& [id, state] : pools_)
    ids.push_back(id);
  return ids;
}

std::vector<team_weight> dispatch_service::weights() const {
  const std::scoped_lock lock{mutex_};
  std::vector<team_weight> weights;
  for (const auto& [team, known] : teams_)
    weights.push_back({team, known.limits.weight});
  return weights;
}

share_report dispatch_service::own_report(const pool_id& id, const incarnation& self) {
  const std::scoped_lock lock{mutex_};
  pool_state& state = pool(id);
  const time_ms now = time_.now();
  const double seconds =
      std::max<double>(0.001, static_cast<double>((now - state.reported).count()) / 1000.0);
  state.reported = now;
  share_report report;
  report.pool = id;
  report.from = self;
  report.sequence = ++state.reports;
  for (const auto& team : state.queue.teams()) {
    team_demand demand;
    demand.team = team.team;
    demand.served = (team.started_cost - state.served[team.team]) / seconds;
    demand.wanted =
        (team.arrived_cost - state.arrived[team.team]) / seconds + team.queued_cost / 2.0;
    state.served[team.team] = team.started_cost;
    state.arrived[team.team] = team.arrived_cost;
    if (demand.wanted > 0.0 || demand.served > 0.0)
      report.teams.push_back(demand);
  }
  // Merging names only the largest demands and forgets whose report it is.
  share_report bounded = merge_reports(std::span{&report, 1}, share_policy{}.max_teams);
  bounded.pool = id;
  bounded.from = self;
  bounded.sequence = report.sequence;
  return bounded;
}

void dispatch_service::apply_plan(const pool_id& id, const share_plan& plan) {
  const std::scoped_lock lock{mutex_};
  pool_state& state = pool(id);
  state.queue.set_credit(plan.slots);
  for (const team_share& share : plan.teams)
    state.queue.set_share(share.team, share.weight, share.fraction, time_.now());
  pump(state);
}

} // namespace sedgechute
