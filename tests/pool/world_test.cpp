#include "pool/pool.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <numeric>

using namespace sedgechute;
using namespace sedgechute::pool;

namespace {

deployment small_pool() {
  deployment of;
  of.name = "small";
  of.zones = {{2, 10}, {2, 10}};
  of.engines = 4;
  of.sheet.memory_tokens = 60'000;
  of.team_parts = {3, 2, 1};
  of.clump = 2;
  of.kinds = {{"draft",
               6,
               800,
               200,
               15'000,
               4,
               2,
               {{{400, 0.3, 1000}, 2, 0}, {{3000, 0.5, 9000}, 20, 0.3}},
               {4000, 1, 20'000},
               {60, 0.4, 200},
               1},
              {"chat",
               14,
               300,
               200,
               12'000,
               1.5,
               0.7,
               {{{100, 0.3, 300}, 4, 0}},
               {500, 0.8, 3000},
               {40, 0.5, 150},
               1}};
  return of;
}

traffic some(double load, std::uint64_t seed = 1) {
  traffic how;
  how.load = load;
  how.duration_ms = 10'000;
  how.seed = seed;
  return how;
}

std::vector<policy_kind> all_policies() {
  std::vector<policy_kind> all;
  for (const auto& entry : enum_names<policy_kind>::entries)
    all.push_back(entry.first);
  return all;
}

struct played {
  played(policy_kind kind, const traffic& how, const deployment& of = small_pool())
      : way{make_policy(kind, of, {}, how.seed)}, one{of, make_arrivals(of, how), *way, {}} {
    one.play();
  }

  std::unique_ptr<placement_policy> way;
  world one;
};

void check_same(const fate& a, const fate& b) {
  CHECK(a.end == b.end);
  CHECK(a.first_event_ms == b.first_event_ms);
  CHECK(a.longest_pause_ms == b.longest_pause_ms);
  CHECK(a.engine == b.engine);
  CHECK(a.sends == b.sends);
}

std::uint64_t sum_of(const world& one, std::uint64_t (engine::*figure)() const noexcept) {
  return std::accumulate(one.engines().begin(), one.engines().end(), std::uint64_t{0},
                         [&](std::uint64_t sum, const engine& at) { return sum + (at.*figure)(); });
}

} // namespace

TEST_CASE("the same seed gives the same run") {
  for (const policy_kind kind : all_policies()) {
    CAPTURE(name_of(kind));
    const played first{kind, some(3)};
    const played second{kind, some(3)};
    REQUIRE(first.one.fates().size() == second.one.fates().size());
    for (std::size_t i = 0; i < first.one.fates().size(); ++i)
      check_same(first.one.fates()[i], second.one.fates()[i]);
  }
}

TEST_CASE("another seed gives other requests") {
  const auto first = make_arrivals(small_pool(), some(1, 1));
  const auto second = make_arrivals(small_pool(), some(1, 2));
  REQUIRE_FALSE(first.empty());
  REQUIRE_FALSE(second.empty());
  CHECK(first.front().at_ms != second.front().at_ms);
}

TEST_CASE("every request has one end, also far above what the engines carry") {
  for (const policy_kind kind : all_policies())
    for (const double load : {0.5, 8.0}) {
      CAPTURE(name_of(kind));
      CAPTURE(load);
      const played run{kind, some(load)};
      CHECK(std::none_of(run.one.fates().begin(), run.one.fates().end(),
                         [](const fate& one) { return one.end == fate_kind::open; }));
    }
}

// At a load at which nobody leaves, the engines have made each token of each answer once, and have
// read each token of each prompt that was not kept once.
TEST_CASE("work is conserved") {
  for (const policy_kind kind : all_policies()) {
    CAPTURE(name_of(kind));
    const played run{kind, some(0.5)};
    std::uint64_t to_make = 0;
    std::uint64_t to_read = 0;
    for (std::size_t i = 0; i < run.one.arrivals().size(); ++i) {
      REQUIRE(run.one.fates()[i].end == fate_kind::answered);
      to_make += run.one.arrivals()[i].output_tokens;
      to_read += run.one.arrivals()[i].prompt_tokens;
    }
    for (const reading& read : run.one.readings())
      to_read -= read.kept;
    REQUIRE(run.one.preemptions() == 0);
    CHECK(sum_of(run.one, &engine::tokens_made) == to_make);
    CHECK(sum_of(run.one, &engine::tokens_read) == to_read);
  }
}

TEST_CASE("once all requests have ended the engines hold nothing") {
  const played run{policy_kind::shipped, some(1)};
  std::uint64_t running = 0;
  for (const engine& at : run.one.engines())
    running += at.load().running + at.load().waiting;
  CHECK(running == 0);
}

TEST_CASE("a shared part has one length and one name, whoever sends it") {
  std::unordered_map<part_key, std::uint32_t> lengths;
  std::size_t again = 0;
  for (const arrival& one : make_arrivals(small_pool(), some(2)))
    for (std::size_t i = 0; i < one.shared_pieces(); ++i) {
      const auto [known, first] = lengths.try_emplace(one.pieces[i].key, one.pieces[i].tokens);
      CHECK(known->second == one.pieces[i].tokens);
      again += first ? 0 : 1;
    }
  CHECK(again > 0);
}

TEST_CASE("a surge of one team is of that team alone") {
  traffic surge = some(1);
  surge.surge = 6;
  surge.surge_from_ms = 2000;
  surge.surge_until_ms = 8000;
  surge.surging_teams = 1;
  const auto count = [](const std::vector<arrival>& all, bool first_team) {
    return std::count_if(all.begin(), all.end(),
                         [&](const arrival& one) { return (one.team == 0) == first_team; });
  };
  const auto with = make_arrivals(small_pool(), surge);
  const auto without = make_arrivals(small_pool(), some(1));
  CHECK(count(with, true) > 3 * count(without, true));
  CHECK(count(with, false) < 2 * count(without, false));
}

// With chats and long drafts at a load that the engines carry, a way of placing that knows which
// engine has read what reads less than one that deals requests in turn.
TEST_CASE("what hosts tell each other of prompts saves reading") {
  const played shipped{policy_kind::shipped, some(1)};
  const played in_turn{policy_kind::round_robin, some(1)};
  CHECK(sum_of(shipped.one, &engine::tokens_read) < sum_of(in_turn.one, &engine::tokens_read));
}

TEST_CASE("a deployment's document names the field that is missing") {
  CHECK_THROWS_WITH_AS(read_deployment("no such file"), doctest::Contains("no such file"), error);
}
