#include "crashing_part_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;
using namespace sedgechute::crashing_parts;

namespace {

struct outcome {
  int late_sends{0};
  int refused{0};
  int served{0};
  std::size_t crashes{0};
};

constexpr int served_per_refusal = 1000;
constexpr int served_per_hold = 100;

outcome play(const shape& of, std::uint64_t first_seed, int seeds,
             mutation fault = mutation::none) {
  outcome worst;
  for (int i = 0; i < seeds; ++i) {
    schedule one{first_seed + static_cast<std::uint64_t>(i), of, fault};
    one.run();
    INFO("seed " << first_seed + static_cast<std::uint64_t>(i) << ", " << of.hosts << " hosts");
    if (fault == mutation::none) {
      CHECK(one.worst_late_sends() <= sends_after_promise);
      CHECK(one.refused() * served_per_refusal <= one.served());
      CHECK(one.held() * served_per_hold <= one.served());
      CHECK(one.served() > 0);
    }
    worst.late_sends = std::max(worst.late_sends, one.worst_late_sends());
    worst.refused += one.refused();
    worst.served += one.served();
    worst.crashes = std::max(worst.crashes, one.crashes());
  }
  return worst;
}

constexpr int seeds = 12;

} // namespace

// Guards against a part of prompts that ends endpoint after endpoint while no two requests are
// alike.
TEST_CASE("no schedule sends requests with a crashing part on for long, at any number of hosts") {
  for (const std::size_t hosts : {1U, 2U, 9U, 30U}) {
    play({.hosts = hosts}, 100 * hosts, seeds);
    play({.hosts = hosts, .place = guilty::first}, 100 * hosts + 50, seeds);
  }
  play({.hosts = 300,
        .endpoints = 100,
        .bad_parts = 2,
        .requests_per_step = 6,
        .length = time_ms{20000}},
       7, 2);
}

TEST_CASE("requests with a crashing part are held back with lost messages, cuts and restarts") {
  for (const std::size_t hosts : {1U, 2U, 9U, 30U})
    play({.hosts = hosts, .disturbed = true}, 1000 * hosts, seeds);
  play({.hosts = 2, .longest_pause = time_ms{3000}, .disturbed = true, .length = time_ms{60000}},
       1500, seeds);
}

TEST_CASE("requests with a crashing part are held back where one host has all the traffic") {
  play({.one_host_serves = true}, 31, seeds);
  play({.one_host_serves = true, .disturbed = true}, 41, seeds);
}

TEST_CASE("requests with a crashing part are held back while endpoints die of other causes") {
  play({.outages = true}, 51, seeds);
  play({.disturbed = true, .outages = true}, 61, seeds);
}

TEST_CASE("two crashing parts, and one beside a crashing request, are told apart") {
  play({.bad_parts = 2}, 71, seeds);
  play({.bad_parts = 2, .outages = true}, 81, seeds);
  play({.bad_content = true}, 91, seeds);
}

TEST_CASE("a crashing part is found in small and in busy services, and where crashes come late") {
  play({.endpoints = 4}, 101, seeds);
  play({.endpoints = 4, .outages = true}, 111, seeds);
  play({.requests_per_step = 3, .outages = true}, 121, seeds);
  play({.crash_delay = time_ms{400}}, 131, seeds);
  play({.first_parts = 1, .second_parts = 40, .longest_answer = time_ms{12000}}, 141, seeds);
}

// Guards against refusals of harmless requests that share a part with many others.
TEST_CASE("no schedule of outages, rollouts and restarts refuses requests for a shared part") {
  play({.bad_parts = 0, .outages = true}, 151, 2 * seeds);
  play({.bad_parts = 0, .disturbed = true, .outages = true}, 181, 2 * seeds);
  play({.bad_parts = 0, .first_parts = 1, .second_parts = 10, .disturbed = true, .outages = true},
       211, seeds);
}

TEST_CASE("schedules find injected faults in the handling of crashing parts") {
  CHECK(play({.hosts = 30}, 1, seeds, mutation::news_not_sent).late_sends > sends_after_promise);
  CHECK(
      play(
          {.hosts = 1, .longest_pause = time_ms{3000}, .disturbed = true, .length = time_ms{60000}},
          1, seeds, mutation::no_records)
          .late_sends > sends_after_promise);
  CHECK(play({.endpoints = 4, .outages = true}, 1, seeds, mutation::no_harmless).refused > 0);
  CHECK(play({.hosts = 1, .endpoints = 4, .bad_parts = 0, .disturbed = true, .outages = true}, 1,
             3 * seeds, mutation::all_blamed)
            .refused > 0);
}
