#include "admission/admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace sedgechute;

namespace {

struct load {
  request_flow flow;
  double per_second{};
  time_ms service_time{20};
  time_ms patience{1000};
};

struct tally {
  double offered{};
  double served{};
  double refused{}; ///< at once
  double late{};    ///< after a wait
  double work_ms{}; ///< service time
  time_ms longest{};
};

/// Requests arrive at random; each slot runs one at a time. Everything passes the gate, and reports
/// are current.
/// \param clump  until a multiple of it, requests wait for tokens before they reach the gate
std::vector<tally> play(const std::vector<load>& loads,
                        const std::function<std::size_t(time_ms)>& slots, time_ms span,
                        std::uint64_t seed = 1, time_ms clump = time_ms{1}) {
  place_gate gate{{.queue = {.max_waiting = 64}}};
  random_source random{seed};
  std::vector<tally> result(loads.size());
  std::vector<time_ms> running;
  std::map<queue_ticket, std::pair<std::size_t, time_ms>> waiting;
  std::vector<std::pair<std::size_t, time_ms>> arrived;
  for (time_ms now{1}; now <= span; now += time_ms{1}) {
    std::erase_if(running, [&](time_ms end) { return end <= now; });
    const auto capacity = [&] {
      const std::size_t all = slots(now);
      return service_capacity{1, all - std::min(all, running.size()), time_ms{0}};
    };
    const auto take = [&](const std::vector<place_gate::event>& ended) {
      for (const auto& [ticket, end] : ended) {
        if (!waiting.contains(ticket))
          continue;
        const auto [of, arrival] = waiting.at(ticket);
        waiting.erase(ticket);
        if (end != wait_end::granted) {
          (now > arrival ? result[of].late : result[of].refused) += 1;
          continue;
        }
        running.push_back(now + loads[of].service_time);
        gate.note_placed();
        result[of].served += 1;
        result[of].work_ms += static_cast<double>(loads[of].service_time.count());
        result[of].longest = std::max(result[of].longest, now - arrival);
      }
    };
    take(gate.update(capacity(), now));
    for (std::size_t i = 0; i < loads.size(); ++i) {
      if (random.unit() * 1000 >= loads[i].per_second)
        continue;
      result[i].offered += 1;
      arrived.emplace_back(i, now);
    }
    if (now.count() % clump.count() != 0)
      continue;
    for (const auto& [i, arrival] : std::exchange(arrived, {})) {
      const auto entered =
          gate.enter({loads[i].flow, now, arrival + loads[i].patience, loads[i].service_time},
                     time_ms{1'000'000}, capacity(), now);
      waiting[entered.ticket] = {i, arrival};
      take(entered.ended);
    }
  }
  return result;
}

std::function<std::size_t(time_ms)> always(std::size_t slots) {
  return [=](time_ms) { return slots; };
}

queued_request request_of(int priority, const std::string& team, time_ms deadline,
                          bool returning = false) {
  return {{priority, team}, time_ms{0}, deadline, time_ms{10}, returning};
}

} // namespace

// Guards against a burst in which the order of arrival decides, or a priority gets nothing.
TEST_CASE("queue: in a burst priorities go first and the lower ones get a tenth") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto got =
        play({{{0, "a"}, 250}, {{1, "b"}, 250}, {{2, "c"}, 250}}, always(4), time_ms{10000}, seed);
    const double work = got[0].work_ms + got[1].work_ms + got[2].work_ms;
    CHECK(work > 0.97 * 4 * 10000);
    for (const tally& of : got)
      CHECK(of.work_ms >= work / 10);
    CHECK(got[0].served > 4 * got[2].served);
  }
}

// Guards against one team's traffic taking the places of the others.
TEST_CASE("queue: a team at eight times its traffic waits and the others do not lose") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::vector<load> loads;
    for (int i = 0; i < 8; ++i)
      loads.push_back({{0, "team-" + std::to_string(i)}, i == 0 ? 160.0 : 20.0});
    const auto got = play(loads, always(4), time_ms{10000}, seed);
    for (std::size_t i = 1; i < loads.size(); ++i)
      CHECK(got[i].served > 0.97 * got[i].offered);
    CHECK(got[0].served < 0.6 * got[0].offered);
    CHECK(got[0].served > got[1].served);
  }
}

// Guards against sizes that starve: long requests behind short ones, or short ones behind long.
TEST_CASE("queue: long prompts and short ones of a priority get equal service time") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto got = play({{{1, "long"}, 20, time_ms{400}, time_ms{3000}},
                           {{1, "short"}, 400, time_ms{20}, time_ms{3000}},
                           {{2, "large"}, 5, time_ms{400}, time_ms{3000}}},
                          always(8), time_ms{20000}, seed);
    CHECK(got[0].work_ms > 0.8 * got[1].work_ms);
    CHECK(got[1].work_ms > 0.8 * got[0].work_ms);
    CHECK(got[2].work_ms >= (got[0].work_ms + got[1].work_ms + got[2].work_ms) / 10);
  }
}

// Guards against requests that wait for capacity that is gone, and are refused when it is too late.
TEST_CASE("queue: with half of the endpoints gone what cannot be served is refused at once") {
  const auto halved = [](time_ms now) { return std::size_t{now < time_ms{4000} ? 8U : 4U}; };
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto got = play(
        {{{0, "a"}, 100, time_ms{20}, time_ms{200}}, {{1, "b"}, 250, time_ms{20}, time_ms{200}}},
        halved, time_ms{12000}, seed);
    CHECK(got[0].served > 0.99 * got[0].offered);
    CHECK(got[1].refused > 0);
    CHECK(got[1].late < got[1].refused / 5);
    for (const tally& of : got)
      CHECK(of.longest <= time_ms{180});
  }
}

TEST_CASE("queue: nothing waits while a place is free, or while no report is young enough") {
  place_gate gate;
  const auto end_of = [&](const service_capacity& capacity) {
    const auto entered =
        gate.enter(request_of(0, "a", time_ms{1000}), time_ms{50}, capacity, time_ms{1});
    return entered.ended.empty() ? std::optional<wait_end>{} : entered.ended.front().end;
  };
  CHECK(end_of({1, 2, time_ms{10}}) == wait_end::granted);
  CHECK(end_of({1, 2, time_ms{10}}) == wait_end::granted);
  CHECK_FALSE(end_of({1, 2, time_ms{10}})); // both places are held
  CHECK(gate.update({1, 0, time_ms{200}}, time_ms{2}).empty());
  const auto ended = gate.update({1, 0, time_ms{201}}, time_ms{3});
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].end == wait_end::unreported);
  CHECK(end_of({1, 0, std::nullopt}) == wait_end::unreported);
  CHECK(end_of({0, 0, time_ms{10}}) == wait_end::unreported);
}

// Guards against a stall of the fleet: every host waits for places that none sees.
TEST_CASE("queue: a request goes on when no free place has been seen for long") {
  place_gate gate;
  const service_capacity none{1, 0, time_ms{0}};
  const time_ms unseen_after{50};
  REQUIRE(
      gate.enter(request_of(0, "a", time_ms{1000}), unseen_after, none, time_ms{0}).ended.empty());
  CHECK(gate.update(none, time_ms{49}).empty());
  const auto ended = gate.update(none, time_ms{50});
  REQUIRE(ended.size() == 1);
  CHECK(ended[0].end == wait_end::unseen);
}

TEST_CASE("queue: a returning request goes before new ones of its priority and team only") {
  admission_queue queue;
  const auto enter = [&](const queued_request& one) {
    return *queue.enter(one, time_ms{0}).ticket;
  };
  const auto first = enter(request_of(1, "a", time_ms{500}));
  const auto returning = enter(request_of(1, "a", time_ms{900}, true));
  const auto higher = enter(request_of(0, "b", time_ms{900}));
  CHECK(queue.next(3, time_ms{1}) == std::vector<queue_ticket>{higher, returning, first});
}

// Guards against a full queue that only the earliest fill.
TEST_CASE("queue: when it is full the lowest priority and the largest team make room") {
  admission_queue queue{{.max_waiting = 20}};
  const auto enter = [&](int priority, const std::string& team) {
    return queue.enter(request_of(priority, team, time_ms{500}), time_ms{0});
  };
  for (int i = 0; i < 20; ++i)
    REQUIRE(enter(1, "a").ticket);
  CHECK(enter(1, "a").refused == queue_refusal::full);
  CHECK(enter(1, "b").yielded);
  CHECK(enter(0, "c").yielded);
  CHECK(enter(2, "d").yielded); // less than its part waits
  CHECK(enter(2, "d").yielded);
  CHECK(enter(2, "d").refused == queue_refusal::full);
  CHECK(queue.size() == 20);
  CHECK(enter(0, "c").yielded);
}

TEST_CASE("queue: a request without the time to be served is refused at once") {
  admission_queue queue;
  CHECK(queue.enter(request_of(0, "a", time_ms{9}), time_ms{0}).refused == queue_refusal::late);
}

// While the store is unavailable, requests wait for borrowed tokens up to a quarter of their time,
// and those of all teams come on together. Guards against such groups upsetting the order, starving
// a priority or being served too late, and against an order that depends on anything but requests.
TEST_CASE(
    "queue: requests that waited for tokens while the store is unavailable keep their order") {
  const std::vector<load> loads{{{0, "a"}, 200, time_ms{20}, time_ms{300}},
                                {{1, "b"}, 400, time_ms{20}, time_ms{300}}};
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto got = play(loads, always(4), time_ms{8000}, seed, time_ms{75});
    const auto again = play(loads, always(4), time_ms{8000}, seed, time_ms{75});
    CHECK(got[0].served > got[1].served);
    for (std::size_t i = 0; i < loads.size(); ++i) {
      CHECK(got[i].work_ms >= (got[0].work_ms + got[1].work_ms) / 10);
      CHECK(got[i].longest <= time_ms{280});
      CHECK(got[i].served == again[i].served);
    }
  }
}
