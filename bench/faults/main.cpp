// sedgechute-faults: runs random schedules of faults on a model fleet and checks after every step
// that no team can overspend and no request is billed twice.

#include "measurements.hpp"
#include "schedule.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <iostream>

ABSL_FLAG(std::uint64_t, schedules, 10000, "number of schedules to run");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first schedule; the others use the seeds after it");
ABSL_FLAG(bool, mutations, false, "check that the schedules detect each mutation of the ledger");
ABSL_FLAG(bool, figures, false, "measure costs, memory and policies instead");

namespace sedgechute::ledger {
namespace {

using steady_clock = std::chrono::steady_clock;

double seconds_since(steady_clock::time_point start) {
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

void print_failure(const schedule& s, const findings& found) {
  std::cout << "seed " << s.seed << ": " << found.first << '\n';
  const schedule shorter = shrink(s);
  std::cout << "  " << run_schedule(shorter).first << " in " << shorter.steps.size() << " steps:\n";
  for (const step& next : shorter.steps)
    std::cout << "    " << to_text(next) << '\n';
}

struct totals {
  std::uint64_t run{};
  std::uint64_t failed{};
  token_count overspend{};
  std::uint64_t double_billed{};
  std::uint64_t unresolved{};
};

int run_schedules(std::uint64_t count, std::uint64_t seed) {
  totals sum;
  const auto start = steady_clock::now();
  for (; sum.run < count && sum.failed < 3; ++sum.run) {
    const schedule s = make_schedule(seed + sum.run, mutation::none);
    const findings found = run_schedule(s);
    sum.overspend += found.overspend_tokens;
    sum.double_billed += found.double_billed;
    sum.unresolved += found.unresolved;
    if (found.clean())
      continue;
    ++sum.failed;
    print_failure(s, found);
  }
  std::printf(
      "{\"overspend_tokens\":%lld,\"double_billed\":%llu,\"unresolved\":%llu,"
      "\"schedules\":%llu,\"failed\":%llu,\"seed\":%llu,\"schedules_per_s\":%.0f}\n",
      static_cast<long long>(sum.overspend), static_cast<unsigned long long>(sum.double_billed),
      static_cast<unsigned long long>(sum.unresolved), static_cast<unsigned long long>(sum.run),
      static_cast<unsigned long long>(sum.failed), static_cast<unsigned long long>(seed),
      static_cast<double>(sum.run) / seconds_since(start));
  return sum.failed == 0 ? 0 : 1;
}

/// \returns the seed of the first schedule that fails with the mutation and passes without it, or
/// 0.
std::uint64_t find_detecting_seed(mutation fault, std::uint64_t count, std::uint64_t seed) {
  for (std::uint64_t i = 0; i < count; ++i) {
    const bool noticed = !run_schedule(make_schedule(seed + i, fault)).clean();
    if (noticed && run_schedule(make_schedule(seed + i, mutation::none)).clean())
      return seed + i;
  }
  return 0;
}

int run_mutations(std::uint64_t count, std::uint64_t seed) {
  int missed = 0;
  int tried = 0;
  for (const auto& [fault, name] : enum_names<mutation>::entries) {
    if (fault == mutation::none)
      continue;
    ++tried;
    const std::uint64_t by = find_detecting_seed(fault, count, seed);
    missed += by == 0 ? 1 : 0;
    std::cout << name << ": ";
    if (by == 0)
      std::cout << "NOT CAUGHT in " << count << " schedules\n";
    else
      std::cout << "caught by seed " << by << ", " << run_schedule(make_schedule(by, fault)).first
                << '\n';
  }
  std::printf("{\"mutations\":%d,\"missed\":%d}\n", tried, missed);
  return missed == 0 ? 0 : 1;
}

} // namespace
} // namespace sedgechute::ledger

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::uint64_t count = absl::GetFlag(FLAGS_schedules);
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (absl::GetFlag(FLAGS_figures))
    return sedgechute::ledger::print_measurements(seed);
  if (absl::GetFlag(FLAGS_mutations))
    return sedgechute::ledger::run_mutations(count, seed);
  return sedgechute::ledger::run_schedules(count, seed);
}
