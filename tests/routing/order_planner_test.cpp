#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

const loadable large{{model_id{"large"}, "3"}, ""};
const loadable small{{model_id{"small"}, "1"}, ""};
const loadable old_large{{model_id{"large"}, "2"}, ""};
const loadable frames{{model_id{"large"}, "3"}, "frames"};
const pool_id lm{"lm"};

/// A pool whose engines execute each order before the next round.
struct pool {
  std::vector<engine_view> engines;
  order_planner planner;
  time_ms now{0};
  std::vector<engine_order> all;

  explicit pool(int count, planner_policy policy = {}) : planner{policy} {
    for (int i = 0; i < count; ++i)
      engines.push_back({endpoint_id{std::string{"lm-"}.append(std::to_string(i))},
                         data_centre_id{i % 2 == 0 ? "a" : "b"},
                         true,
                         {},
                         endpoint_role::any,
                         0.1 * i});
    planner.set_epoch(7);
  }

  void obey(const engine_order& order) {
    auto engine = std::ranges::find(engines, order.endpoint, &engine_view::endpoint);
    if (order.action == order_action::load)
      engine->held.push_back(order.item);
    else if (order.action == order_action::unload)
      std::erase(engine->held, order.item);
    else
      engine->role = order.role;
  }

  std::vector<engine_order> round(const pool_goal& goal, bool engines_obey = true) {
    now += 1_s;
    const auto orders = planner.plan(goal, engines, now);
    for (const engine_order& order : orders) {
      all.push_back(order);
      if (engines_obey)
        obey(order);
    }
    return orders;
  }

  [[nodiscard]] std::size_t holders(const loadable& item) const {
    return std::ranges::count_if(engines, [&](const engine_view& engine) {
      return engine.usable && std::ranges::find(engine.held, item) != engine.held.end();
    });
  }
};

pool_goal goal_of(std::vector<item_goal> items, bool honours_fencing = true) {
  return {std::move(items), honours_fencing, 0};
}

} // namespace

TEST_SUITE("orders to engines") {
  TEST_CASE("of two concurrent claims on a pool the first in the log wins") {
    pool_claims claims;
    const incarnation a{host_id{"a"}, 1};
    const incarnation b{host_id{"b"}, 1};
    CHECK(claims.apply({lm, a, 0}, 10));
    CHECK_FALSE(claims.apply({lm, b, 0}, 11));
    CHECK_FALSE(claims.apply({lm, a, 0}, 12)); // repeated because the acknowledgement was lost
    CHECK(claims.epoch_of(lm, a) == 10);
    CHECK(claims.epoch_of(lm, b) == 0);
    CHECK(claims.apply({lm, b, 10}, 20));
    CHECK(claims.epoch_of(lm, a) == 0);
    CHECK(claims.epoch_of(lm, b) == 20);
  }

  TEST_CASE("exactly one live host claims a pool when its decider is gone, and none before") {
    pool_claims claims;
    const std::vector<incarnation> live{{host_id{"a"}, 1}, {host_id{"b"}, 1}, {host_id{"c"}, 1}};
    CHECK(claims.apply({lm, live[0], 0}, 10));
    const auto due = [&](std::span<const incarnation> alive) {
      return std::ranges::count_if(alive, [&](const incarnation& self) {
        return claims.due_claim(lm, self, alive).has_value();
      });
    };
    CHECK(due(live) == 0);
    CHECK(due(std::span{live}.last(2)) == 1);
    // A restarted host is a new incarnation and not the decider.
    const std::vector<incarnation> restarted{{host_id{"a"}, 2}, live[1], live[2]};
    CHECK(due(restarted) == 1);
  }

  TEST_CASE("goals are reached within the weight store's rate, spread over data centres") {
    pool p{6};
    const pool_goal goal = goal_of({{large, 4}, {small, 2}, {frames, 2}});
    std::size_t loads_in_first_5_s = 0;
    for (int i = 0; i < 60; ++i) {
      const auto orders = p.round(goal);
      if (i < 5)
        loads_in_first_5_s += orders.size();
    }
    CHECK(loads_in_first_5_s <= 3);
    CHECK(p.holders(large) == 4);
    CHECK(p.holders(small) == 2);
    CHECK(p.holders(frames) == 2);
    const auto in_a = std::ranges::count_if(p.engines, [](const engine_view& engine) {
      return engine.data_centre == data_centre_id{"a"} &&
             std::ranges::find(engine.held, large) != engine.held.end();
    });
    CHECK(in_a == 2);
    for (const engine_order& order : p.all) {
      CHECK(order.fencing == 7);
      CHECK_FALSE(order.why.empty());
    }
  }

  TEST_CASE("a lost engine's models are loaded on another engine") {
    pool p{6};
    const pool_goal goal = goal_of({{large, 3}});
    for (int i = 0; i < 30; ++i)
      (void)p.round(goal);
    for (engine_view& engine : p.engines)
      if (!engine.held.empty()) {
        engine.usable = false;
        break;
      }
    CHECK(p.holders(large) == 2);
    for (int i = 0; i < 10; ++i)
      (void)p.round(goal);
    CHECK(p.holders(large) == 3);
  }

  TEST_CASE("an unanswered order is resent with the same id") {
    pool p{1};
    const pool_goal goal = goal_of({{large, 1}});
    for (int i = 0; i < 12; ++i)
      (void)p.round(goal, false);
    CHECK(p.all.size() == 3);
    for (const engine_order& order : p.all)
      CHECK(order.id == p.all[0].id);
  }

  TEST_CASE("engines that ignore fencing receive only loads") {
    // A decider that was paused for an hour resumes, and its outdated unload reaches an engine that
    // accepts any order: the engine unloads a model that is in use.
    pool p{4};
    for (engine_view& engine : p.engines)
      engine.held = {old_large, small};
    const pool_goal goal = goal_of({{large, 2}, {small, 2}}, false);
    for (int i = 0; i < 60; ++i)
      for (const engine_order& order : p.round(goal))
        CHECK(order.action == order_action::load);
    CHECK_FALSE(p.planner.withheld().empty());
    pool fenced{4};
    fenced.engines = p.engines;
    for (int i = 0; i < 120; ++i)
      (void)fenced.round(goal_of({{large, 2}, {small, 2}}));
    CHECK(fenced.holders(large) == 2);
    CHECK(fenced.holders(old_large) == 0);
  }

  TEST_CASE("no orders are sent after an engine has seen a newer epoch") {
    pool p{4};
    const pool_goal goal = goal_of({{large, 4}});
    const auto orders = p.round(goal, false);
    p.planner.note_answer(orders.at(0).id, order_answer::newer_epoch, {}, p.now);
    CHECK(p.planner.epoch() == 0);
    for (int i = 0; i < 30; ++i)
      CHECK(p.round(goal).empty());
  }

  TEST_CASE("a new decider is announced to each engine until the engine confirms") {
    pool p{2};
    const auto first = p.planner.epoch_announcements(p.engines, p.now);
    REQUIRE(first.size() == 2);
    CHECK(first[0].fencing == 7);
    CHECK(first[0].role == p.engines[0].role);
    p.planner.note_answer(first[0].id, order_answer::done, {}, p.now);
    CHECK(p.planner.epoch_announcements(p.engines, p.now).empty());
    const auto again = p.planner.epoch_announcements(p.engines, p.now + 6_s);
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint == p.engines[1].endpoint);
    p.planner.note_answer(again[0].id, order_answer::newer_epoch, {}, p.now);
    CHECK(p.planner.epoch() == 0);
  }

  TEST_CASE("a new version replaces the old one on one engine at a time") {
    planner_policy policy;
    policy.models_per_engine = 1;
    pool p{3, policy};
    for (engine_view& engine : p.engines)
      engine.held = {old_large};
    for (int i = 0; i < 60; ++i) {
      (void)p.round(goal_of({{large, 3}}));
      CHECK(p.holders(large) + p.holders(old_large) >= 2);
    }
    CHECK(p.holders(large) == 3);
    CHECK(p.holders(old_large) == 0);
  }

  TEST_CASE("an overloaded weight store gets no orders for as long as it requests") {
    pool p{4};
    const pool_goal goal = goal_of({{large, 4}});
    const auto orders = p.round(goal, false);
    for (const engine_order& order : orders)
      p.planner.note_answer(order.id, order_answer::rate_limited, 20_s, p.now);
    for (int i = 0; i < 19; ++i)
      CHECK(p.round(goal).empty());
    std::size_t later = 0;
    for (int i = 0; i < 15; ++i)
      later += p.round(goal).size();
    CHECK(later > 0);
  }

  TEST_CASE("a short drop in demand unloads nothing; a lasting change makes room") {
    planner_policy policy;
    policy.models_per_engine = 1;
    pool p{4, policy};
    const pool_goal much_large = goal_of({{large, 3}, {small, 1}});
    for (int i = 0; i < 40; ++i)
      (void)p.round(much_large);
    const pool_goal much_small = goal_of({{large, 1}, {small, 3}});
    for (int i = 0; i < 10; ++i)
      (void)p.round(much_small);
    CHECK(p.holders(large) == 3);
    for (int i = 0; i < 90; ++i)
      (void)p.round(much_small);
    CHECK(p.holders(large) == 1);
    CHECK(p.holders(small) == 3);
  }

  TEST_CASE("roles change to the goal one engine at a time") {
    pool p{4};
    pool_goal goal = goal_of({});
    goal.prefill_engines = prefill_goal(4, 40000.0, 1000.0, 10000.0, 1000.0);
    CHECK(goal.prefill_engines == 3);
    for (int i = 0; i < 20; ++i) {
      const auto orders = p.round(goal);
      CHECK(orders.size() <= 1);
    }
    CHECK(std::ranges::count(p.engines, endpoint_role::prefill, &engine_view::role) == 3);
  }

  TEST_CASE("replicas follow demand above the minimum") {
    const std::vector<item_demand> demand{{large, 900.0}, {small, 100.0}};
    const auto goals = goals_by_demand(demand, 10, 14, 2);
    CHECK(goals[0].replicas == 10);
    CHECK(goals[1].replicas == 3);
  }
}
