#include "pool/pool.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::pool;

namespace {

constexpr double run_ms = 30'000;
constexpr double warm_up_ms = 5'000;

/// \brief What decides in the product, and how soon hosts hear of each other.
struct placing {
  choice_weights weights;
  world_options options;
};

// Weights and interval under which long prompts wandered.
placing wandering() {
  placing made;
  made.weights.away_token_ms = 0.005;
  made.options.message_interval_ms = 60;
  return made;
}

run_figures play(const placing& how, const std::string& document, double load,
                 std::uint64_t seeds) {
  const deployment of = read_deployment(document);
  std::vector<run_figures> runs;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    traffic come;
    come.load = load;
    come.duration_ms = run_ms;
    come.seed = seed;
    const auto way = make_policy(policy_kind::shipped, of, how.weights, seed);
    world one{of, make_arrivals(of, come), *way, how.options};
    one.play();
    runs.push_back(figures_of(one, warm_up_ms));
  }
  return mean_of(runs);
}

double in_time(const kind_figures& kind) {
  return static_cast<double>(kind.in_time) / static_cast<double>(kind.requests);
}

} // namespace

// At 1.75 times the usual load engines read all the time. A draft that is sent away from the engine
// that keeps its start, for a wait that is a little shorter there, pushes out other starts, and
// these drafts then wander too: engines read the same starts again, and chats wait behind that.
// Hosts that hear of a long prompt only after it is half read send chats behind it.
TEST_CASE(
    "at high load drafts stay where their start is kept, and every kind is more often in time") {
  const std::string document = DEPLOYMENTS "/drafts.json";
  const run_figures before = play(wandering(), document, 1.75, 12);
  const run_figures now = play({}, document, 1.75, 12);
  for (std::size_t i = 0; i < now.kinds.size(); ++i) {
    CAPTURE(now.kinds[i].name);
    CHECK(in_time(now.kinds[i]) > in_time(before.kinds[i]) + 0.02);
    CHECK(now.kinds[i].left + now.kinds[i].refused <=
          before.kinds[i].left + before.kinds[i].refused);
  }
  CHECK(10 * now.read.read_again < 7 * before.read.read_again);
}

// What helps at high load must not cost callers at the usual one.
TEST_CASE("at the usual load no kind is less often in time for it") {
  const std::string document = DEPLOYMENTS "/listings.json";
  const run_figures before = play(wandering(), document, 1, 3);
  const run_figures now = play({}, document, 1, 3);
  for (std::size_t i = 0; i < now.kinds.size(); ++i) {
    CAPTURE(now.kinds[i].name);
    CHECK(in_time(now.kinds[i]) >= in_time(before.kinds[i]) - 0.01);
  }
}
