// sedgechute-claims: runs random schedules of faults against a simulation of several hosts and
// counts violations of the claims protocol. Any schedule can be replayed from its seed.

#include "claims_simulation.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cmath>
#include <ctime>
#include <iostream>

ABSL_FLAG(std::uint64_t, schedules, 10000, "how many schedules to run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first schedule; the next ones follow");
ABSL_FLAG(std::uint64_t, steps, 150, "random actions of a schedule");
ABSL_FLAG(bool, mutations, false, "check that each deliberate protocol fault is detected");

namespace sedgechute::test {
namespace {

// Processor time, so that other programs on the machine don't affect the result.
double seconds_used() {
  return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

int run_schedules(std::uint64_t count, std::uint64_t seed, std::uint64_t steps) {
  findings sum;
  std::uint64_t failed = 0;
  const double start = seconds_used();
  for (std::uint64_t i = 0; i < count; ++i) {
    const findings found = run_schedule(seed + i, steps);
    sum += found;
    if (found.clean())
      continue;
    ++failed;
    std::cout << "seed " << seed + i << " of " << steps << " steps is wrong" << std::endl;
  }
  const double used = seconds_used() - start;
  std::cout << "{\"ran_twice\":" << sum.ran_twice << ",\"false_not_run\":" << sum.false_not_run
            << ",\"mixed_answers\":" << sum.mixed_answers << ",\"unresolved\":" << sum.unresolved
            << ",\"stuck\":" << sum.stuck << ",\"schedules\":" << count << ",\"failed\":" << failed
            << ",\"seed\":" << seed << ",\"steps\":" << steps << ",\"calls\":" << sum.calls
            << ",\"runs\":" << sum.runs << ",\"refused_unknown\":" << sum.refused_unknown
            << ",\"refused_not_run\":" << sum.refused_not_run << ",\"retained\":" << sum.retained
            << ",\"joined\":" << sum.joined
            << ",\"schedules_per_cpu_s\":" << std::llround(static_cast<double>(count) / used)
            << "}\n";
  return failed == 0 ? 0 : 1;
}

int run_mutations(std::uint64_t count, std::uint64_t seed, std::uint64_t steps) {
  int tried = 0;
  int missed = 0;
  for (const auto& [fault, name] : enum_names<mutation>::entries) {
    if (fault == mutation::none)
      continue;
    ++tried;
    std::uint64_t next = 0;
    while (next < count && run_schedule(seed + next, steps, fault).clean())
      ++next;
    missed += next == count ? 1 : 0;
    if (next == count)
      std::cout << name << ": NOT NOTICED in " << count << " schedules\n";
    else
      std::cout << name << ": noticed by seed " << seed + next << '\n';
  }
  std::cout << "{\"mutations\":" << tried << ",\"missed\":" << missed << "}\n";
  return missed == 0 ? 0 : 1;
}

} // namespace
} // namespace sedgechute::test

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::uint64_t count = absl::GetFlag(FLAGS_schedules);
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  const std::uint64_t steps = absl::GetFlag(FLAGS_steps);
  if (absl::GetFlag(FLAGS_mutations))
    return sedgechute::test::run_mutations(count, seed, steps);
  return sedgechute::test::run_schedules(count, seed, steps);
}
