#include "claims_simulation.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::test;

namespace {

constexpr std::size_t steps = 150;

} // namespace

TEST_CASE("no schedule of failures runs a key twice or gives a caller a false result") {
  findings sum;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    const findings found = run_schedule(seed, steps);
    CHECK_MESSAGE(found.clean(), "seed " << seed);
    sum += found;
  }
  // The schedules must make progress, or the checks above would prove nothing.
  CHECK(sum.calls > 30000);
  CHECK(sum.runs > 4000);
  CHECK(sum.refused_not_run > 500);
  CHECK(sum.retained > 3000);
  CHECK(sum.joined > 3000);
}

TEST_CASE("the checks detect every deliberate protocol fault") {
  for (const auto& entry : enum_names<mutation>::entries) {
    const mutation fault = entry.first;
    if (fault == mutation::none)
      continue;
    std::uint64_t seed = 1;
    while (seed <= 2000 && run_schedule(seed, steps, fault).clean())
      ++seed;
    CHECK_MESSAGE(seed <= 2000, name_of(fault));
    MESSAGE(name_of(fault) << " found by seed " << seed);
  }
}
