#include "claims_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace sedgechute;
using namespace sedgechute::test;

namespace {

/// \brief Only counts actions: the simulation itself compares every decision with its oracle.
struct schedule_model {
  std::size_t actions{0};
};

class schedule_action : public rc::state::Command<schedule_model, claims_simulation> {
 public:
  schedule_action() {
    using enum action_kind;
    step_.kind = *rc::gen::weightedElement<action_kind>({{30, begin},
                                                         {45, advance},
                                                         {12, end_run},
                                                         {2, crash},
                                                         {3, pause},
                                                         {3, resume},
                                                         {2, cut},
                                                         {2, heal},
                                                         {1, log_outage},
                                                         {2, log_back},
                                                         {2, suspect},
                                                         {1, drain}});
    step_.a = *rc::gen::arbitrary<std::uint32_t>();
    step_.b = *rc::gen::arbitrary<std::uint32_t>();
  }

  void apply(schedule_model& model) const override { ++model.actions; }
  void run(const schedule_model&, claims_simulation& world) const override {
    world.apply(step_);
    RC_ASSERT(world.found().clean());
  }
  void show(std::ostream& out) const override {
    out << step_.kind << ' ' << step_.a << ' ' << step_.b;
  }

 private:
  action step_;
};

void check_schedule(std::uint64_t seed, mutation fault) {
  claims_simulation world{seed, fault};
  rc::state::check(schedule_model{}, world, rc::state::gen::execOneOfWithArgs<schedule_action>());
  world.settle();
  RC_ASSERT(world.found().clean());
}

} // namespace

TEST_CASE("generated schedules agree with the oracle after every step") {
  CHECK(rc::check([](std::uint64_t seed) { check_schedule(seed, mutation::none); }));
}

TEST_CASE("a deliberate protocol fault is found and shrunk to a short schedule") {
  const auto result = rc::detail::checkTestable(
      [](std::uint64_t seed) { check_schedule(seed, mutation::skip_witness); });
  CHECK(result.is<rc::detail::FailureResult>());
}
