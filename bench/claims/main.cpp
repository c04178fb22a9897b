// sedgechute-claims: runs random schedules of faults against several hosts' claims and counts what
// no caller may meet. Any schedule replays from its seed.

#include "claims_world.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <ctime>

ABSL_FLAG(std::uint64_t, schedules, 10000, "how many schedules to run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first schedule; the next ones follow");
ABSL_FLAG(std::uint64_t, steps, 150, "random actions of a schedule");
ABSL_FLAG(bool, mutations, false, "show that each deliberate fault in the protocol is noticed");

namespace sedgechute::test {
namespace {

// Processor time: other programs on the machine must not change what a schedule costs.
double seconds_used() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
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
    std::printf("seed %llu of %llu steps is wrong\n", static_cast<unsigned long long>(seed + i),
                static_cast<unsigned long long>(steps));
    std::fflush(stdout);
  }
  std::printf("{\"ran_twice\":%zu,\"false_not_run\":%zu,\"mixed_answers\":%zu,\"unresolved\":%zu,"
              "\"stuck\":%zu,\"schedules\":%llu,\"failed\":%llu,\"seed\":%llu,\"steps\":%llu,"
              "\"calls\":%zu,\"runs\":%zu,\"refused_unknown\":%zu,\"refused_not_run\":%zu,"
              "\"retained\":%zu,\"joined\":%zu,\"schedules_per_cpu_s\":%.0f}\n",
              sum.ran_twice, sum.false_not_run, sum.mixed_answers, sum.unresolved, sum.stuck,
              static_cast<unsigned long long>(count), static_cast<unsigned long long>(failed),
              static_cast<unsigned long long>(seed), static_cast<unsigned long long>(steps),
              sum.calls, sum.runs, sum.refused_unknown, sum.refused_not_run, sum.retained,
              sum.joined, static_cast<double>(count) / (seconds_used() - start));
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
      std::printf("%s: NOT NOTICED in %llu schedules\n", name,
                  static_cast<unsigned long long>(count));
    else
      std::printf("%s: noticed by seed %llu\n", name, static_cast<unsigned long long>(seed + next));
  }
  std::printf("{\"mutations\":%d,\"missed\":%d}\n", tried, missed);
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
