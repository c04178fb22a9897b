#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

constexpr time_ms far_deadline{1'000'000'000};

const team_id north{"north"};
const team_id south{"south"};

queued_work work(std::uint64_t ticket, work_class kind = work_class::interactive,
                 double cost = 10.0, time_ms deadline = far_deadline) {
  return {ticket, kind, cost, deadline};
}

/// Starts requests until the queue is empty; returns their tickets in order.
std::vector<std::uint64_t> drain(fair_queue& queue, time_ms now) {
  std::vector<std::uint64_t> order;
  while (const auto grant = queue.dequeue(now))
    order.push_back(grant->ticket);
  return order;
}

struct two_teams {
  fair_queue queue;

  two_teams(double north_weight, double south_weight) {
    team_limits limits;
    limits.weight = north_weight;
    queue.set_team(north, limits, time_ms{0});
    limits.weight = south_weight;
    queue.set_team(south, limits, time_ms{0});
  }
};

} // namespace

TEST_SUITE("fair queue") {
  TEST_CASE("a flood of one team leaves the other its share, unlike first come, first served") {
    // A team's requests wait although it has paid for its share: another team sends thousands of
    // requests within a second, and in order of arrival all of them are served first.
    two_teams t{1.0, 1.0};
    std::deque<team_id> first_come;
    std::uint64_t ticket = 0;
    for (int i = 0; i < 1000; ++i) {
      CHECK(t.queue.enqueue(south, work(++ticket), time_ms{0}).admitted);
      first_come.push_back(south);
    }
    const std::uint64_t first_of_north = ticket + 1;
    for (int i = 0; i < 50; ++i) {
      CHECK(t.queue.enqueue(north, work(++ticket), time_ms{1}).admitted);
      first_come.push_back(north);
    }
    const auto order = drain(t.queue, time_ms{2});
    const auto of_north = std::count_if(order.begin(), order.begin() + 100,
                                        [&](auto started) { return started >= first_of_north; });
    const auto of_north_naive = std::count(first_come.begin(), first_come.begin() + 100, north);
    CHECK(of_north >= 49 + of_north_naive);
  }

  TEST_CASE("service follows weights in tokens, regardless of request sizes") {
    CHECK(rc::check([] {
      const double ratio = *rc::gen::inRange(1, 6);
      const auto small = *rc::gen::inRange(1, 50);
      const auto large = *rc::gen::inRange(1, 500);
      two_teams t{ratio, 1.0};
      std::uint64_t ticket = 0;
      for (int i = 0; i < 3000; ++i) {
        RC_ASSERT(t.queue.enqueue(north, work(++ticket, work_class::standard, small), time_ms{0})
                      .admitted);
        RC_ASSERT(t.queue.enqueue(south, work(++ticket, work_class::standard, large), time_ms{0})
                      .admitted);
      }
      std::map<std::uint32_t, double> served;
      for (int i = 0; i < 500; ++i) {
        const auto grant = t.queue.dequeue(time_ms{1});
        served[grant->team_slot] += grant->cost;
      }
      const double error = served[0] / ratio - served[1];
      RC_ASSERT(std::abs(error) <= small / ratio + large);
    }));
  }

  TEST_CASE("a team whose requests cost more than estimated is charged the difference") {
    two_teams t{1.0, 1.0};
    std::uint64_t ticket = 0;
    for (int i = 0; i < 400; ++i) {
      CHECK(t.queue.enqueue(north, work(++ticket), time_ms{0}).admitted);
      CHECK(t.queue.enqueue(south, work(++ticket), time_ms{0}).admitted);
    }
    std::map<std::uint32_t, double> real;
    for (int i = 0; i < 300; ++i) {
      const auto grant = t.queue.dequeue(time_ms{i});
      const double cost = grant->team_slot == 0 ? 30.0 : 10.0;
      real[grant->team_slot] += cost;
      t.queue.settle(*grant, cost, time_ms{i});
    }
    CHECK(std::abs(real[0] - real[1]) <= 40.0);
  }

  TEST_CASE("an idle team accumulates no credit") {
    two_teams t{1.0, 1.0};
    std::uint64_t ticket = 0;
    for (int i = 0; i < 200; ++i)
      CHECK(t.queue.enqueue(south, work(++ticket), time_ms{0}).admitted);
    for (int i = 0; i < 100; ++i)
      CHECK(t.queue.dequeue(time_ms{0}).has_value());
    for (int i = 0; i < 200; ++i)
      CHECK(t.queue.enqueue(north, work(++ticket), time_ms{1}).admitted);
    int of_north = 0;
    for (int i = 0; i < 100; ++i)
      of_north += t.queue.dequeue(time_ms{2})->team_slot == 0 ? 1 : 0;
    CHECK(of_north <= 51);
    CHECK(of_north >= 49);
  }

  TEST_CASE("within a team, interactive work starts first, then standard, then long-running") {
    two_teams t{1.0, 1.0};
    CHECK(t.queue.enqueue(north, work(1, work_class::long_running), time_ms{0}).admitted);
    CHECK(t.queue.enqueue(north, work(2, work_class::standard), time_ms{0}).admitted);
    CHECK(t.queue.enqueue(north, work(3, work_class::interactive), time_ms{0}).admitted);
    CHECK(drain(t.queue, time_ms{1}) == std::vector<std::uint64_t>{3, 2, 1});
  }

  TEST_CASE("within a class, the earliest deadline starts first, ties in order of arrival") {
    two_teams t{1.0, 1.0};
    CHECK(t.queue.enqueue(north, work(1, work_class::standard, 1, 900_ms), time_ms{0}).admitted);
    CHECK(t.queue.enqueue(north, work(2, work_class::standard, 1, 300_ms), time_ms{0}).admitted);
    CHECK(t.queue.enqueue(north, work(3, work_class::standard, 1, 300_ms), time_ms{0}).admitted);
    CHECK(drain(t.queue, time_ms{1}) == std::vector<std::uint64_t>{2, 3, 1});
  }

  TEST_CASE("long-running work is not starved by the team's own interactive requests") {
    // With strict priority, long-running work never starts while the team sends a steady stream of
    // interactive requests: each free place goes to one of those.
    two_teams t{1.0, 1.0};
    const queue_policy policy;
    CHECK(t.queue.enqueue(north, work(1, work_class::long_running, 100.0), time_ms{0}).admitted);
    std::uint64_t ticket = 1;
    double chat_served = 0.0;
    bool draft_started = false;
    for (int i = 0; i < 2000 && !draft_started; ++i) {
      const time_ms now = 20_ms * i;
      CHECK(t.queue.enqueue(north, work(++ticket), now).admitted);
      const auto grant = t.queue.dequeue(now);
      if (grant->kind == work_class::long_running)
        draft_started = true;
      else
        chat_served += grant->cost;
      if (now <= policy.aging_delay[2])
        CHECK_FALSE(draft_started);
    }
    CHECK(draft_started);
    CHECK(chat_served >= 3 * 100.0);
  }

  TEST_CASE("each limit refuses with its own error and a sufficient retry-after") {
    fair_queue queue;
    team_limits limits;
    limits.requests_per_s = 2.0;
    limits.burst_s = 1.0;
    queue.set_team(north, limits, time_ms{0});
    CHECK(queue.enqueue(north, work(1), time_ms{0}).admitted);
    CHECK(queue.enqueue(north, work(2), time_ms{0}).admitted);
    const admission by_rate = queue.enqueue(north, work(3), time_ms{0});
    CHECK(by_rate.refusal == error_kind::rate_limited);
    CHECK(queue.enqueue(north, work(3), by_rate.retry_after).admitted);

    limits = {};
    limits.max_queued = 2;
    limits.max_running = 1;
    queue.set_team(south, limits, time_ms{0});
    CHECK(queue.enqueue(south, work(11), time_ms{0}).admitted);
    CHECK(queue.enqueue(south, work(12), time_ms{0}).admitted);
    const admission by_length = queue.enqueue(south, work(13), time_ms{0});
    CHECK_FALSE(by_length.admitted);
    CHECK(by_length.refusal == error_kind::queue_full);
    CHECK(by_length.retry_after >= 1_s);
  }

  TEST_CASE("a team at its concurrency limit waits while others are served") {
    fair_queue queue;
    team_limits limits;
    limits.max_running = 1;
    limits.max_queued = 2;
    queue.set_team(south, limits, time_ms{0});
    for (std::uint64_t i = 1; i <= 2; ++i)
      CHECK(queue.enqueue(south, work(i), time_ms{0}).admitted);
    const auto running = queue.dequeue(time_ms{0});
    CHECK(queue.enqueue(south, work(3), time_ms{0}).admitted);
    CHECK(queue.enqueue(south, work(4), time_ms{0}).refusal == error_kind::concurrency_limited);
    CHECK(queue.enqueue(north, work(5), time_ms{0}).admitted);
    CHECK(drain(queue, time_ms{1}) == std::vector<std::uint64_t>{5});
    queue.settle(*running, 10.0, time_ms{2});
    CHECK(queue.peek(time_ms{2}) == 2);
  }

  TEST_CASE("a request that cannot start before its deadline is refused at once") {
    fair_queue queue;
    std::uint64_t ticket = 0;
    for (int i = 0; i < 500; ++i)
      CHECK(queue.enqueue(north, work(++ticket), time_ms{0}).admitted);
    for (int i = 0; i < 200; ++i) // 10 tokens every 10 ms: 1000 tokens per second
      CHECK(queue.dequeue(10_ms * i).has_value());
    const time_ms now{2000};
    // 300 requests of 10 tokens wait, which takes about 3 s.
    const admission late =
        queue.enqueue(north, work(++ticket, work_class::interactive, 10.0, now + 2_s), now);
    CHECK(late.refusal == error_kind::deadline_unreachable);
    CHECK(late.retry_after >= 1_s);
    CHECK(queue.enqueue(north, work(++ticket, work_class::interactive, 10.0, now + 4_s), now)
              .admitted);
    // Another team does not wait for the long queue.
    CHECK(queue.enqueue(south, work(++ticket, work_class::interactive, 10.0, now + 1_s), now)
              .admitted);
  }

  TEST_CASE("a request past its deadline expires and is never started") {
    fair_queue queue;
    CHECK(queue.enqueue(north, work(1, work_class::standard, 1, 100_ms), time_ms{0}).admitted);
    CHECK(queue.enqueue(north, work(2, work_class::standard, 1, 500_ms), time_ms{0}).admitted);
    CHECK(queue.expire(101_ms) == std::vector<std::uint64_t>{1});
    CHECK(drain(queue, 102_ms) == std::vector<std::uint64_t>{2});
  }

  TEST_CASE("each request leaves the queue exactly once in any sequence of operations") {
    CHECK(rc::check([] {
      fair_queue queue;
      std::set<std::uint64_t> waiting; // reference model: the waiting tickets
      std::vector<work_grant> running;
      std::uint64_t ticket = 0;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000)));
      time_ms now{0};
      for (const auto& [step, number] : steps) {
        now += time_ms{number % 50};
        const team_id team{"team" + std::to_string(number % 5)};
        if (step <= 1) {
          const auto kind = static_cast<work_class>(number % 3);
          const queued_work added = work(++ticket, kind, 1.0 + number, now + 2_ms * number);
          if (queue.enqueue(team, added, now).admitted)
            waiting.insert(ticket);
        } else if (step == 2) {
          const auto next = queue.head(now);
          const auto grant = queue.dequeue(now);
          RC_ASSERT(grant.has_value() == !waiting.empty());
          if (grant) {
            RC_ASSERT(next->ticket == grant->ticket);
            RC_ASSERT(waiting.erase(grant->ticket) == 1);
            running.push_back(*grant);
          }
        } else if (step == 3) {
          const std::uint64_t picked = ticket == 0 ? 0 : number % ticket + 1;
          RC_ASSERT(queue.cancel(picked) == (waiting.erase(picked) == 1));
        } else if (step == 4 && !running.empty()) {
          if (number % 2 == 0) {
            queue.settle(running.back(), number, now);
          } else {
            queue.put_back(running.back(), now + 1_s, now);
            waiting.insert(running.back().ticket);
          }
          running.pop_back();
        } else {
          for (const std::uint64_t late : queue.expire(now))
            RC_ASSERT(waiting.erase(late) == 1);
        }
        RC_ASSERT(queue.figures().queued == waiting.size());
        RC_ASSERT(queue.figures().running == running.size());
      }
    }));
  }
}
