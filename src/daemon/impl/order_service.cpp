#include "daemon/impl/order_service.hpp"

#include "daemon/impl/engine_orders.hpp"
#include "wire/wire.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms order_timeout{2000};
constexpr time_ms claim_repeat{3000};
constexpr time_ms store_pause{10000};
constexpr time_ms first_patience{5000};
constexpr time_ms most_patience{60000};
constexpr time_ms takeover_memory{600000};

std::string text_of(const engine_order& order) {
  std::string text{name_of(order.action)};
  text.append(" ");
  text.append(order.action == order_action::role ? name_of(order.role) : to_string(order.item));
  return text.append(": ").append(order.why);
}

std::string_view result_name(order_answer answer) {
  switch (answer) {
  case order_answer::done:
    return "done";
  case order_answer::newer_epoch:
    return "refused";
  case order_answer::rate_limited:
    return "withheld";
  case order_answer::failed:
    break;
  }
  return "failed";
}

} // namespace

order_service::order_service(incarnation self, dispatch_service& dispatch,
                             const document_service& documents, record_appender& log,
                             std::unique_ptr<weight_store_client> weights, const clock& time,
                             metrics& figures, decision_events& events)
    : self_{std::move(self)}, dispatch_{dispatch}, documents_{documents}, log_{log},
      weights_{std::move(weights)}, time_{time}, metrics_{figures}, events_{events} {}

void order_service::on_view(const membership_view& view) {
  const std::scoped_lock lock{mutex_};
  live_.clear();
  for (const member& one : view.members)
    if (!one.leaving)
      live_.push_back(one.who);
}

void order_service::on_claim(std::uint64_t offset, const pool_claim& claim) {
  const std::scoped_lock lock{mutex_};
  if (claims_.apply(claim, offset) && claim.replaces != 0)
    pools_[claim.pool].takeovers.push_back(time_.now());
}

std::vector<decided_pool> order_service::snapshot() const {
  const std::scoped_lock lock{mutex_};
  return claims_.decided();
}

void order_service::restore(const std::vector<decided_pool>& decided) {
  const std::scoped_lock lock{mutex_};
  claims_ = pool_claims{decided};
}

void order_service::tick() {
  const auto fleet = documents_.fleet();
  if (!fleet)
    return;
  for (const pool_settings& pool : fleet->pools) {
    if (pool.kind != pool_kind::engine)
      continue;
    claim_when_due(pool.name);
    const std::vector<reported_engine> engines = dispatch_.reported_engines(pool.name);
    for (const engine_order& order : plan(pool, engines)) {
      const auto engine = std::ranges::find(engines, order.endpoint, &reported_engine::endpoint);
      if (engine != engines.end())
        give(pool.name, order, engine->address);
    }
  }
}

// Two sides of a partition that both reach the log see each other as dead, and would take the pool
// from each other at every round: each order would be fenced off by the next claim. So a decider is
// replaced only after it was out of sight for a while, longer with each change of late.
time_ms order_service::patience(pool_state& state, time_ms now) {
  while (!state.takeovers.empty() && now - state.takeovers.front() > takeover_memory)
    state.takeovers.pop_front();
  time_ms span = first_patience;
  for (std::size_t i = 0; i < state.takeovers.size() && span < most_patience; ++i)
    span = span * 2;
  return std::min(span, most_patience);
}

void order_service::claim_when_due(const pool_id& pool) {
  std::optional<pool_claim> due;
  {
    const std::scoped_lock lock{mutex_};
    const time_ms now = time_.now();
    pool_state& state = pools_[pool];
    due = claims_.due_claim(pool, self_, live_);
    if (!due) {
      state.without_decider.reset();
      return;
    }
    if (!state.without_decider)
      state.without_decider = now;
    const bool patient = due->replaces != 0 && now - *state.without_decider < patience(state, now);
    if (patient || (state.claimed && now - *state.claimed < claim_repeat))
      return;
    state.claimed = now;
  }
  wire::log_record record;
  *record.mutable_pool() = to_wire(*due);
  log_.append(record.SerializeAsString());
}

std::vector<engine_order> order_service::plan(const pool_settings& pool,
                                              const std::vector<reported_engine>& engines) {
  const std::scoped_lock lock{mutex_};
  const time_ms now = time_.now();
  pool_state& state = pools_[pool.name];
  const std::uint64_t epoch = claims_.epoch_of(pool.name, self_);
  // An engine that refused this epoch has seen a newer one. This host, which may be cut off from
  // the log, has not read of it yet; its orders would only be refused again.
  state.planner.set_epoch(epoch == state.fenced ? 0 : epoch);
  state.demand.note(pool, engines, now);
  std::vector<engine_view> views;
  for (const reported_engine& engine : engines)
    views.push_back(view_of(pool, engine));
  const pool_goal goal =
      goal_of(pool, views, state.demand, state.planner.policy().models_per_engine);
  std::vector<engine_order> orders;
  if (pool.honours_fencing)
    orders = state.planner.epoch_announcements(views, now);
  std::ranges::move(state.planner.plan(goal, views, now), std::back_inserter(orders));
  count_withheld(pool.name, state);
  return orders;
}

void order_service::count_withheld(const pool_id& pool, pool_state& state) {
  std::set<std::string> withheld;
  for (const std::string& reason : state.planner.withheld()) {
    if (!state.withheld.contains(reason))
      metrics_.add(metric::orders, {pool.str(), "withheld"});
    withheld.insert(reason);
  }
  state.withheld = std::move(withheld);
}

// Between the plan and the sending this host may be paused for any length of time, so no check here
// could tell whether it still decides. Engines that honour fencing refuse what comes too late; the
// others are given, by the planner, nothing that does harm when it is late.
void order_service::give(const pool_id& pool, const engine_order& order,
                         const std::string& address) {
  if (order.action == order_action::load && !store_allows(pool, order))
    return note_answer(pool, order, order_answer::rate_limited);
  metrics_.add(metric::orders, {pool.str(), "sent"});
  record(decision_kind::order_given, order, text_of(order));
  const auto answer = send_order(http_target::parse(address), order, order_timeout);
  if (answer)
    note_answer(pool, order, *answer);
}

/// \returns whether the weight store can serve the load now; a repeat is not asked about again.
bool order_service::store_allows(const pool_id& pool, const engine_order& order) {
  {
    const std::scoped_lock lock{mutex_};
    if (pools_[pool].granted.contains(order.id))
      return true;
  }
  try {
    if (!weights_->size_of(order.item.model.model, order.item.model.version))
      return false;
  } catch (const error&) {
    return false; // without the store no engine could load anything
  }
  const std::scoped_lock lock{mutex_};
  pools_[pool].granted.insert(order.id);
  return true;
}

void order_service::note_answer(const pool_id& pool, const engine_order& order,
                                order_answer answer) {
  metrics_.add(metric::orders, {pool.str(), result_name(answer)});
  if (answer == order_answer::newer_epoch || answer == order_answer::failed)
    record(decision_kind::order_refused, order,
           text_of(order).append("; the engine answered ").append(name_of(answer)));
  const std::scoped_lock lock{mutex_};
  pool_state& state = pools_[pool];
  if (answer == order_answer::newer_epoch)
    state.fenced = order.fencing;
  if (answer != order_answer::done)
    state.granted.erase(order.id);
  state.planner.note_answer(order.id, answer, store_pause, time_.now());
}

void order_service::record(decision_kind kind, const engine_order& order,
                           const std::string& reason) {
  decision made{kind};
  made.at = wall_time();
  made.subject = order.endpoint.str();
  made.reason = reason;
  made.amount = static_cast<std::int64_t>(order.fencing);
  events_.record(std::move(made));
}

pool_orders order_service::describe(const pool_id& pool) const {
  const std::scoped_lock lock{mutex_};
  pool_orders told;
  if (const pool_decider* const decider = claims_.decider(pool))
    told.decider = *decider;
  const auto found = pools_.find(pool);
  if (found == pools_.end())
    return told;
  const order_planner& planner = found->second.planner;
  told.records.assign(planner.records().begin(), planner.records().end());
  told.withheld = planner.withheld();
  return told;
}

} // namespace sedgechute
