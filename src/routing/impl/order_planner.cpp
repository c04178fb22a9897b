#include "routing/impl/order_planner.hpp"

#include <algorithm>
#include <tuple>

namespace sedgechute {

namespace {

constexpr std::uint64_t orders_per_epoch = std::uint64_t{1} << 20U;

bool holds(const std::vector<loadable>& held, const loadable& item) {
  return std::ranges::find(held, item) != held.end();
}

std::uint32_t models_in(const std::vector<loadable>& held) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(held, [](const loadable& item) { return item.adapter.empty(); }));
}

std::string ratio(std::size_t have, std::size_t want) {
  return std::to_string(have).append(" of ").append(std::to_string(want));
}

bool shows_done(const engine_view& engine, const engine_order& order) {
  switch (order.action) {
  case order_action::load:
    return holds(engine.held, order.item);
  case order_action::unload:
    return !holds(engine.held, order.item);
  case order_action::role:
    return engine.role == order.role;
  }
  return false;
}

template <typename Engines>
std::uint32_t holders(const Engines& engines, const loadable& item) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(engines, [&](const auto& engine) { return holds(engine.held, item); }));
}

template <typename Engines>
std::size_t holders_in(const Engines& engines, const loadable& item, const data_centre_id& where) {
  return std::ranges::count_if(engines, [&](const auto& engine) {
    return engine.view->data_centre == where && holds(engine.held, item);
  });
}

bool listed(const pool_goal& goal, const loadable& item) {
  return std::ranges::any_of(goal.items, [&](const item_goal& g) { return g.item == item; });
}

engine_order order_for(order_action action, const loadable& item, std::string why) {
  engine_order order;
  order.action = action;
  order.item = item;
  order.why = std::move(why);
  return order;
}

engine_order role_order(endpoint_role role, std::string why) {
  engine_order order;
  order.action = order_action::role;
  order.role = role;
  order.why = std::move(why);
  return order;
}

} // namespace

order_planner::order_planner(planner_policy policy) : policy_{policy} {
  store_.configure(policy_.loads_per_s, policy_.load_burst, time_ms{0});
}

void order_planner::set_epoch(std::uint64_t epoch) {
  if (epoch == epoch_)
    return;
  epoch_ = epoch;
  next_order_ = 0;
  announced_.clear();
  unanswered_announcements_.clear();
  // Orders of a former epoch are not resent: an engine would refuse their fencing number or, if it
  // does not check it, execute an outdated order.
  for (order_record& record : records_)
    if (record.state == order_state::sent)
      record.state = order_state::abandoned;
}

std::size_t order_planner::open_orders() const {
  return std::ranges::count(records_, order_state::sent, &order_record::state);
}

std::size_t order_planner::open_orders(order_action action) const {
  return std::ranges::count_if(records_, [action](const order_record& record) {
    return record.state == order_state::sent && record.order.action == action;
  });
}

void order_planner::close_finished(const pool_goal& goal, std::span<const engine_view> engines,
                                   time_ms now) {
  for (order_record& record : records_) {
    if (record.state != order_state::sent)
      continue;
    const auto engine = std::ranges::find(engines, record.order.endpoint, &engine_view::endpoint);
    const bool gone = engine == engines.end() || !engine->usable;
    // Resending a load of an item that is no longer listed would load what is not wanted any more.
    const bool unwanted =
        record.order.action == order_action::load && !listed(goal, record.order.item);
    if (!gone && shows_done(*engine, record.order))
      record.state = order_state::done;
    else if (gone || unwanted)
      record.state = order_state::abandoned;
    else
      continue;
    record.ended = now;
  }
}

std::vector<order_planner::engine_state>
order_planner::states_of(std::span<const engine_view> engines, time_ms now) {
  std::vector<engine_state> states;
  for (const engine_view& view : engines)
    if (view.usable)
      states.push_back({&view, view.held, false});
  for (order_record& record : records_) {
    if (record.state != order_state::sent)
      continue;
    const auto engine = std::ranges::find_if(states, [&](const engine_state& state) {
      return state.view->endpoint == record.order.endpoint;
    });
    if (engine == states.end())
      continue;
    engine->busy = true;
    if (record.order.action == order_action::load && !holds(engine->held, record.order.item))
      engine->held.push_back(record.order.item);
    if (record.order.action == order_action::unload)
      std::erase(engine->held, record.order.item);
    const time_ms timeout = record.answered ? policy_.report_timeout : policy_.repeat_after;
    if (now - record.last_sent >= timeout) {
      record.last_sent = now;
      due_.push_back(record.order);
    }
  }
  return states;
}

// A higher goal applies at once. A lower one applies only after it has persisted, so that a short
// drop in demand does not unload models that have to be fetched again.
void order_planner::update_goals(const pool_goal& goal, time_ms now) {
  for (const item_goal& g : goal.items) {
    item_state& state = items_[g.item];
    if (g.replicas >= state.wanted) {
      state = {g.replicas, g.replicas, now};
      continue;
    }
    if (g.replicas != state.lower) {
      state.lower = g.replicas;
      state.lower_since = now;
    }
    if (now - state.lower_since >= policy_.lower_goal_delay)
      state.wanted = state.lower;
  }
  std::erase_if(items_, [&](const auto& known) { return !listed(goal, known.first); });
}

bool order_planner::may_order(const endpoint_id& endpoint, order_action action,
                              const loadable& item, time_ms now) const {
  return std::ranges::none_of(records_, [&](const order_record& record) {
    return record.state == order_state::failed && record.order.endpoint == endpoint &&
           record.order.action == action && record.order.item == item &&
           now - record.ended < policy_.retry_after;
  });
}

void order_planner::issue(engine_state& engine, engine_order order, time_ms now) {
  order.id = epoch_ * orders_per_epoch + ++next_order_;
  order.fencing = epoch_;
  order.endpoint = engine.view->endpoint;
  engine.busy = true;
  if (order.action == order_action::load)
    engine.held.push_back(order.item);
  if (order.action == order_action::unload)
    std::erase(engine.held, order.item);
  due_.push_back(order);
  records_.push_back({std::move(order), order_state::sent, false, now, now, {}});
  if (records_.size() > policy_.records_kept)
    records_.pop_front();
}

void order_planner::make_room(const pool_goal& goal, std::vector<engine_state>& engines,
                              const loadable& item, time_ms now) {
  if (!item.adapter.empty()) {
    withheld_.push_back("load of " + to_string(item) + ": no idle engine holds its model");
    return;
  }
  if (!goal.honours_fencing) {
    withheld_.push_back(
        "unload for " + to_string(item) +
        ": the engines ignore fencing numbers, so an outdated unload would be executed");
    return;
  }
  // One engine at a time: an engine whose model is being replaced serves neither model, and a
  // version change on engines with one place each would otherwise stop the whole pool.
  if (open_orders(order_action::unload) + open_orders(order_action::load) > 0) {
    withheld_.push_back("load of " + to_string(item) + ": another engine is being changed");
    return;
  }
  for (engine_state& engine : engines) {
    if (engine.busy || holds(engine.held, item))
      continue;
    for (const loadable& held : engine.view->held) {
      const auto known = items_.find(held);
      const std::uint32_t wanted = known == items_.end() ? 0 : known->second.wanted;
      const std::uint32_t have = holders(engines, held);
      if (!held.adapter.empty() || have <= wanted ||
          !may_order(engine.view->endpoint, order_action::unload, held, now))
        continue;
      issue(engine,
            order_for(order_action::unload, held,
                      to_string(held) + " has " + ratio(have, wanted) + " wanted replicas and " +
                          to_string(item) + " needs a place"),
            now);
      return;
    }
  }
  withheld_.push_back("load of " + to_string(item) + ": no engine has room and nothing is surplus");
}

void order_planner::plan_loads(const pool_goal& goal, std::vector<engine_state>& engines,
                               time_ms now) {
  struct shortfall {
    const item_goal* goal;
    std::uint32_t have;
    std::uint32_t wanted;
  };
  std::vector<shortfall> short_of;
  for (const item_goal& g : goal.items) {
    const std::uint32_t have = holders(engines, g.item);
    const std::uint32_t wanted = items_[g.item].wanted;
    if (have < wanted)
      short_of.push_back({&g, have, wanted});
  }
  std::ranges::stable_sort(short_of, [](const shortfall& a, const shortfall& b) {
    return std::uint64_t{a.have} * b.wanted < std::uint64_t{b.have} * a.wanted;
  });

  for (const shortfall& missing : short_of) {
    const loadable& item = missing.goal->item;
    if (open_orders() >= policy_.max_open) {
      withheld_.push_back("load of " + to_string(item) + ": too many orders are in flight");
      return;
    }
    if (now < store_backoff_until_ || store_.wait_for(1.0, now) > time_ms{0}) {
      withheld_.push_back("load of " + to_string(item) + ": waits for the weight store");
      return;
    }
    const auto fits = [&](const engine_state& engine) {
      const bool room = item.adapter.empty() ? models_in(engine.held) < policy_.models_per_engine
                                             : holds(engine.held, loadable{item.model, {}});
      return !engine.busy && room && !holds(engine.held, item) &&
             may_order(engine.view->endpoint, order_action::load, item, now);
    };
    const auto rank = [&](const engine_state& engine) {
      return std::tuple{holders_in(engines, item, engine.view->data_centre), engine.view->load,
                        engine.view->endpoint};
    };
    engine_state* best = nullptr;
    for (engine_state& engine : engines)
      if (fits(engine) && (best == nullptr || rank(engine) < rank(*best)))
        best = &engine;
    if (best == nullptr) {
      make_room(goal, engines, item, now);
      continue;
    }
    store_.take(1.0, now);
    issue(*best,
          order_for(order_action::load, item,
                    to_string(item) + " has " + ratio(missing.have, missing.wanted) +
                        " wanted replicas; " + best->view->data_centre.str() + " has " +
                        std::to_string(holders_in(engines, item, best->view->data_centre)) +
                        ", and the engine is the least loaded with room"),
          now);
  }
}

// An old version keeps serving until its engine holds a listed one or enough other engines do;
// otherwise a version change would leave the model's requests without an engine for a while.
bool order_planner::awaits_other_version(const pool_goal& goal,
                                         const std::vector<engine_state>& engines,
                                         const engine_state& engine, const loadable& old) const {
  const auto reported_holders = [&](const loadable& item) {
    return std::ranges::count_if(
        engines, [&](const engine_state& other) { return holds(other.view->held, item); });
  };
  bool short_of_one = false;
  for (const item_goal& wanted : goal.items) {
    if (!wanted.item.adapter.empty() || wanted.item.model.model != old.model.model)
      continue;
    if (holds(engine.view->held, wanted.item))
      return false;
    const auto known = items_.find(wanted.item);
    short_of_one = short_of_one || known == items_.end() ||
                   reported_holders(wanted.item) < std::int64_t{known->second.wanted};
  }
  return old.adapter.empty() && short_of_one;
}

// Unloads items that the settings no longer list. Surplus replicas of a listed item stay until room
// is needed.
void order_planner::unload_unlisted(const pool_goal& goal, std::vector<engine_state>& engines,
                                    time_ms now) {
  for (engine_state& engine : engines) {
    if (engine.busy || open_orders() >= policy_.max_open)
      continue;
    for (const loadable& held : engine.view->held) {
      if (listed(goal, held) || awaits_other_version(goal, engines, engine, held) ||
          !may_order(engine.view->endpoint, order_action::unload, held, now))
        continue;
      if (!goal.honours_fencing) {
        withheld_.push_back(
            "unload of " + to_string(held) + " at " + engine.view->endpoint.str() +
            ": the engine ignores fencing numbers, so an outdated unload would be executed");
        continue;
      }
      issue(engine,
            order_for(order_action::unload, held, to_string(held) + " is not in the settings"),
            now);
      break;
    }
  }
}

void order_planner::set_roles(const pool_goal& goal, std::vector<engine_state>& engines,
                              time_ms now) {
  if (goal.prefill_engines == 0 || open_orders() >= policy_.max_open)
    return;
  const auto count = [&](endpoint_role role) {
    return std::ranges::count_if(
        engines, [&](const engine_state& engine) { return engine.view->role == role; });
  };
  const auto have = static_cast<std::uint32_t>(count(endpoint_role::prefill));
  if (have == goal.prefill_engines)
    return;
  if (!goal.honours_fencing) {
    withheld_.push_back("change of role: the engines ignore fencing numbers, so an outdated one "
                        "would be executed");
    return;
  }
  // One at a time: each change takes an engine out of its current role.
  const bool open = std::ranges::any_of(records_, [](const order_record& record) {
    return record.state == order_state::sent && record.order.action == order_action::role;
  });
  if (open)
    return;
  const endpoint_role wanted =
      have < goal.prefill_engines ? endpoint_role::prefill : endpoint_role::decode;
  engine_state* best = nullptr;
  for (engine_state& engine : engines)
    if (!engine.busy && engine.view->role != wanted &&
        (best == nullptr || engine.view->load < best->view->load))
      best = &engine;
  if (best == nullptr)
    return;
  issue(*best,
        role_order(wanted, ratio(have, goal.prefill_engines) +
                               " wanted engines read prompts; this one is the least loaded"),
        now);
}

std::vector<engine_order> order_planner::plan(const pool_goal& goal,
                                              std::span<const engine_view> engines, time_ms now) {
  withheld_.clear();
  due_.clear();
  if (epoch_ == 0)
    return {};
  close_finished(goal, engines, now);
  std::vector<engine_state> states = states_of(engines, now);
  update_goals(goal, now);
  plan_loads(goal, states, now);
  unload_unlisted(goal, states, now);
  set_roles(goal, states, now);
  return std::exchange(due_, {});
}

// The former decider may be paused while it sends an order. An engine that does not know this epoch
// would execute that order whenever it arrives; one that knows it refuses. The announcing order
// requests the role that the engine already has.
std::vector<engine_order> order_planner::epoch_announcements(std::span<const engine_view> engines,
                                                             time_ms now) {
  std::vector<engine_order> orders;
  if (epoch_ == 0)
    return orders;
  for (const engine_view& engine : engines) {
    announcement& state = announced_[engine.endpoint];
    const bool pending = state.order != 0 && now - state.sent < policy_.repeat_after;
    if (!engine.usable || state.confirmed || pending)
      continue;
    engine_order order = role_order(engine.role, "announces the new decider's fencing number");
    order.id = epoch_ * orders_per_epoch + ++next_order_;
    order.fencing = epoch_;
    order.endpoint = engine.endpoint;
    state.order = order.id;
    state.sent = now;
    unanswered_announcements_[order.id] = engine.endpoint;
    orders.push_back(std::move(order));
  }
  return orders;
}

void order_planner::note_answer(std::uint64_t order, order_answer answer, time_ms retry_after,
                                time_ms now) {
  if (const auto announced = unanswered_announcements_.find(order);
      announced != unanswered_announcements_.end()) {
    announced_[announced->second].confirmed = answer == order_answer::done;
    unanswered_announcements_.erase(announced);
    if (answer == order_answer::newer_epoch)
      set_epoch(0);
    return;
  }
  const auto record = std::ranges::find_if(
      records_, [order](const order_record& r) { return r.order.id == order; });
  if (record == records_.end() || record->state != order_state::sent)
    return;
  switch (answer) {
  case order_answer::done:
    // The order stays in flight until the engine's report shows it: the report lags, and planning
    // from the old one would repeat the order.
    record->last_sent = now;
    record->answered = true;
    return;
  case order_answer::failed:
    record->state = order_state::failed;
    break;
  case order_answer::rate_limited:
    // The order was not sent, so this is no failure of the engine.
    record->state = order_state::abandoned;
    store_backoff_until_ = std::max(store_backoff_until_, now + retry_after);
    break;
  case order_answer::newer_epoch:
    record->state = order_state::fenced;
    set_epoch(0);
    break;
  }
  record->ended = now;
}

} // namespace sedgechute
