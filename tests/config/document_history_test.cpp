#include "history_model.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace sedgechute;
using namespace sedgechute::testing;

namespace {

constexpr int short_run_histories = 2000;
constexpr int mutation_histories = 400;

[[nodiscard]] int wanted_histories() {
  const char* text = std::getenv("SEDGECHUTE_HISTORIES");
  return text == nullptr ? short_run_histories : std::atoi(text);
}

} // namespace

// An operator publishes through one host while another operator publishes through a second; an
// answer is lost and the append repeated; hosts fall behind, get records from peers, restart from
// checkpoints, and the log forgets old records. Anything a host then shows that differs from a
// replay of the whole log is a change that reverted, took effect by half, or was lost.
TEST_CASE("whatever happens, every host shows what a replay of the whole log gives") {
  history_faults sum;
  const int count = wanted_histories();
  for (int seed = 0; seed < count; ++seed) {
    const auto faults =
        play_history(random_history(static_cast<std::uint64_t>(seed)), mutation::none);
    if (faults.all() > 0 && sum.all() == 0)
      MESSAGE("first faulty seed: " << seed);
    sum.reverted += faults.reverted;
    sum.half_applied += faults.half_applied;
    sum.lost += faults.lost;
  }
  MESSAGE("histories " << count << ", reverted " << sum.reverted << ", half_applied "
                       << sum.half_applied << ", lost " << sum.lost);
  CHECK(sum.reverted == 0);
  CHECK(sum.half_applied == 0);
  CHECK(sum.lost == 0);
}

TEST_CASE("the comparison notices hosts with a fault put in on purpose") {
  for (const mutation fault : {mutation::ignores_replaced_revision, mutation::forgets_record_ids,
                               mutation::accepts_gaps, mutation::skips_after_restore,
                               mutation::skips_budget_check, mutation::drops_relayed_records}) {
    int noticed = 0;
    for (std::uint64_t seed = 0; seed < mutation_histories; ++seed)
      noticed += play_history(random_history(seed), fault).all() > 0 ? 1 : 0;
    CAPTURE(static_cast<int>(fault));
    CHECK(noticed > mutation_histories / 20);
    MESSAGE("mutation " << static_cast<int>(fault) << " noticed in " << noticed << " of "
                        << mutation_histories);
  }
}

TEST_CASE("a generated history, shrunk when it fails") {
  // A seed of its own on every run would make a failure hard to come back to.
  setenv("RC_PARAMS", "seed=2024 max_success=300", 0);
  const bool good = rc::check("hosts agree with the naive replay", [] {
    const auto steps = *rc::gen::container<std::vector<history_step>>(rc::gen::build<history_step>(
        rc::gen::set(&history_step::kind,
                     rc::gen::element(step_kind::publish, step_kind::repeat, step_kind::read,
                                      step_kind::relay, step_kind::checkpoint, step_kind::restart)),
        rc::gen::set(&history_step::a, rc::gen::inRange(0U, 30U)),
        rc::gen::set(&history_step::b, rc::gen::inRange(0U, 30U)),
        rc::gen::set(&history_step::c, rc::gen::inRange(0U, 30U))));
    RC_ASSERT(play_history(steps, mutation::none).all() == 0);
  });
  CHECK(good);
}
