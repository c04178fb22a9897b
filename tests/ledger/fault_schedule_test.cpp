// Random schedules of faults, checked against a naive ledger by RapidCheck's stateful testing.

#include "fleet_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <map>
#include <sstream>

using namespace sedgechute;
using namespace sedgechute::ledger;

namespace {

/// Reference model: one host without faults, with the tokens bought by each team.
struct naive_ledger {
  std::map<std::uint32_t, token_count> bought;
};

model_options small_fleet() {
  model_options options;
  options.ledger.min_slice = 300;
  options.ledger.chunk_share = 8;
  options.ledger.repeat_window = 16;
  options.ledger.busy_requests = 1;
  options.ledger.report_interval = time_ms{500};
  options.ledger.orphan_wait = time_ms{3000};
  options.ledger.probe_after = time_ms{1000};
  options.ledger.settled_retention = time_ms{60000};
  options.ledger.idle_close = time_ms{5000};
  options.ledger.abandon_wait = time_ms{2000};
  return options;
}

/// A random step of the fleet; the naive ledger applies only the contracts. The tokens billed to a
/// team must never exceed the most that it has bought.
struct random_step : rc::state::Command<naive_ledger, fleet_model> {
  step next;

  random_step() {
    // Half of the steps make progress without faults; the others are of any kind.
    constexpr std::array often{step_kind::run, step_kind::request, step_kind::settle,
                               step_kind::deliver};
    const auto kinds = enum_names<step_kind>::entries.size();
    const auto drawn = *rc::gen::inRange<std::size_t>(0, 2 * kinds);
    next.kind = drawn < kinds ? static_cast<step_kind>(drawn) : often[drawn % often.size()];
    next.a = *rc::gen::arbitrary<std::uint32_t>();
    next.b = *rc::gen::arbitrary<std::uint32_t>();
  }
  void apply(naive_ledger& naive) const override {
    const std::uint32_t team = next.b % model_options{}.teams;
    if (next.kind == step_kind::top_up)
      naive.bought[team] += 1 + next.a % 2000;
  }
  void run(const naive_ledger& naive, fleet_model& fleet) const override {
    fleet.apply(next);
    fleet.check();
    RC_ASSERT(fleet.found().first == std::string{});
    const naive_ledger after = nextState(naive);
    for (const auto& [team, bought] : after.bought)
      RC_ASSERT(fleet.billed(team) <= bought);
  }
  void show(std::ostream& out) const override { out << to_text(next); }
};

rc::detail::TestParams fixed_seed(std::uint64_t seed, int schedules) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = schedules;
  params.maxSize = 120;
  return params;
}

} // namespace

TEST_CASE("no schedule of faults overspends a budget or bills a request twice") {
  const auto property = [] {
    const model_options options = small_fleet();
    naive_ledger naive;
    for (std::uint32_t team = 0; team < options.teams; ++team)
      naive.bought[team] = options.bought;
    fleet_model fleet{options, *rc::gen::arbitrary<std::uint64_t>()};
    rc::state::check(naive, fleet, rc::state::gen::execOneOfWithArgs<random_step>());
    fleet.heal_and_check();
    RC_ASSERT(fleet.found().first == std::string{});
  };
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    const auto result =
        rc::detail::checkTestable(property, rc::detail::TestMetadata{}, fixed_seed(seed, 1000));
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO("seed " << seed << ": " << text.str());
    CHECK(result.is<rc::detail::SuccessResult>());
  }
}

// Without faults the fleet must decide like a single host: it grants a request if the remaining
// budget covers it, on whichever host it arrives, and refuses it otherwise.
TEST_CASE("without faults the fleet decides as the naive ledger does") {
  const auto property = [] {
    model_options options = small_fleet();
    options.hosts = *rc::gen::inRange<std::uint32_t>(1, 6);
    options.data_centres = *rc::gen::inRange<std::uint32_t>(1, 4);
    options.teams = 1;
    fleet_model fleet{options, *rc::gen::arbitrary<std::uint64_t>()};
    fleet.run_round();
    token_count left = options.bought;
    const auto requests = *rc::gen::container<std::vector<std::pair<std::uint32_t, token_count>>>(
        rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, options.hosts),
                      rc::gen::inRange<token_count>(1, 900)));
    for (const auto& [host, bound] : requests) {
      const std::size_t request = fleet.start_request(host, 0, bound);
      for (int i = 0; i < 40 && fleet.outcome(request) == budget_outcome::pending; ++i)
        fleet.run_round();
      const bool covered = bound <= left;
      RC_ASSERT(fleet.outcome(request) ==
                (covered ? budget_outcome::granted : budget_outcome::exhausted));
      if (!covered)
        continue;
      left -= bound / 2;
      fleet.finish_request(request, bound / 2);
      for (int i = 0; i < 4; ++i)
        fleet.run_round();
      fleet.check();
      RC_ASSERT(fleet.found().first == std::string{});
    }
    RC_ASSERT(fleet.billed(0) == options.bought - left);
  };
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, fixed_seed(7, 1000));
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}
