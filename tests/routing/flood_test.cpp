#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

const team_id flooder{"flooder"};
const team_id small{"small"};
const pool_id lm{"lm"};

queued_work work(std::uint64_t ticket, work_class kind, double cost) {
  return {ticket, kind, cost, 1000_s};
}

route_choice room_of(double room) {
  route_choice choice;
  choice.room = room;
  return choice;
}

share_report report(std::vector<team_demand> teams, double urgent_queued) {
  share_report all;
  all.pool = lm;
  all.teams = std::move(teams);
  all.urgent_queued = urgent_queued;
  return all;
}

const team_share& share_of(const share_plan& plan, const team_id& team) {
  return *std::ranges::find(plan.teams, team, &team_share::team);
}

} // namespace

TEST_SUITE("flood") {
  TEST_CASE("a small team's long request does not delay its interactive one while another floods") {
    // A small team's interactive requests wait for seconds while another team floods the pool: the
    // small team's long request was charged in full, and its virtual time is far ahead because its
    // weight is small.
    fair_queue queue;
    team_limits limits;
    limits.weight = 50.0;
    queue.set_team(flooder, limits, time_ms{0});
    limits.weight = 1.0;
    queue.set_team(small, limits, time_ms{0});
    queue.set_share(flooder, 50.0, 1.0, time_ms{0}, 1.0);
    std::uint64_t ticket = 0;
    for (int i = 0; i < 500; ++i)
      CHECK(queue.enqueue(flooder, work(++ticket, work_class::interactive, 100), time_ms{0})
                .admitted);
    const std::uint64_t draft = ++ticket;
    CHECK(queue.enqueue(small, work(draft, work_class::long_running, 2000), time_ms{0}).admitted);
    CHECK(queue.dequeue(time_ms{1})->ticket == draft);
    const std::uint64_t chat = ++ticket;
    CHECK(queue.enqueue(small, work(chat, work_class::interactive, 100), 2_ms).admitted);
    CHECK(queue.dequeue(2_ms)->ticket == chat);
    // The flooding team's virtual time is unchanged, so it loses no service.
    CHECK(queue.dequeue(2_ms)->beyond_share);
  }

  TEST_CASE("two teams beyond their shares divide the rest by weight") {
    fair_queue queue;
    team_limits limits;
    for (const auto& [team, weight] : {std::pair{flooder, 3.0}, std::pair{small, 1.0}}) {
      limits.weight = weight;
      queue.set_team(team, limits, time_ms{0});
      queue.set_share(team, weight, 1.0, time_ms{0}, 1.0);
    }
    std::uint64_t ticket = 0;
    for (int i = 0; i < 400; ++i)
      for (const team_id& team : {flooder, small})
        CHECK(queue.enqueue(team, work(++ticket, work_class::standard, 10), time_ms{0}).admitted);
    int of_flooder = 0;
    for (int i = 0; i < 200; ++i)
      of_flooder += queue.dequeue(1_ms)->team_slot == 0 ? 1 : 0;
    CHECK(of_flooder >= 148);
    CHECK(of_flooder <= 152);
  }

  TEST_CASE("a team beyond its share reserves places only while others are within theirs") {
    fair_queue queue;
    queue.set_credit(100.0);
    const start_policy policy;
    const queue_head beyond{1, work_class::interactive, true, 1.0, 1_s};
    const queue_head within{2, work_class::interactive, false, 0.0, 1_s};
    queue.set_entitled_part(0.6);
    CHECK_FALSE(may_start(queue, beyond, room_of(2.0), policy));
    CHECK(may_start(queue, beyond, room_of(8.0), policy));
    CHECK(may_start(queue, within, room_of(1.0), policy));
    queue.set_entitled_part(0.0);
    CHECK(may_start(queue, beyond, room_of(2.0), policy));
  }

  TEST_CASE("a request that may not start does not block more urgent ones") {
    queue_filter filter;
    CHECK(narrow(filter, {1, work_class::standard, true, 1.0, {}}));
    CHECK_FALSE(filter.beyond_share);
    CHECK(narrow(filter, {2, work_class::long_running, false, 0.0, {}}));
    CHECK(filter.last == work_class::standard);
    CHECK(narrow(filter, {3, work_class::standard, false, 0.0, {}}));
    CHECK_FALSE(narrow(filter, {4, work_class::interactive, false, 0.0, {}}));
  }

  TEST_CASE("a long prompt ranks after short ones of its class, a flooding team's prompt last") {
    const choice_policy policy;
    route_need need;
    need.kind = work_class::interactive;
    const std::size_t chat = reading_urgency(need, 500, policy);
    const std::size_t huge = reading_urgency(need, 30000, policy);
    need.kind = work_class::long_running;
    const std::size_t draft = reading_urgency(need, 30000, policy);
    need.kind = work_class::interactive;
    need.beyond_share = true;
    const std::size_t flood = reading_urgency(need, 500, policy);
    CHECK(chat < huge);
    CHECK(huge <= draft);
    CHECK(draft < flood);
    CHECK(engine_priority(chat) < engine_priority(flood));
    CHECK(engine_priority(urgency_count - 1) <= 9);
  }

  TEST_CASE("a team is beyond its share only if it uses more of an overloaded pool") {
    const std::vector<team_weight> weights{{flooder, 1.0}, {small, 1.0}};
    share_inputs inputs{100.0, 1000.0, {}, {}};
    const auto plan = [&] {
      inputs.own = inputs.all;
      return plan_shares(inputs, weights, {});
    };
    inputs.all = report({{flooder, 5000, 700, 9000}, {small, 300, 300, 100}}, 9000);
    CHECK(share_of(plan(), flooder).excess == 1.0);
    CHECK(share_of(plan(), small).excess == 0.0);
    CHECK(plan().entitled_part == doctest::Approx(0.3));
    // One long request makes a small team demand more than its share for a moment.
    inputs.all = report({{flooder, 5000, 700, 9000}, {small, 900, 300, 900}}, 9000);
    CHECK(share_of(plan(), small).excess == 0.0);
    // With hardly any waiting requests the pool is not overloaded, and no team is limited.
    inputs.all = report({{flooder, 5000, 700, 50}, {small, 300, 300, 0}}, 50);
    CHECK(share_of(plan(), flooder).excess == 0.0);
    CHECK(plan().entitled_part == 0.0);
  }
}
