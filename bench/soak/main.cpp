#include "soak_world.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>

// NOLINTBEGIN(readability-identifier-naming): Abseil names the variables behind flags
ABSL_FLAG(std::uint64_t, seed, 0, "first seed; 0 draws one");
ABSL_FLAG(int, runs, 1, "so many seeds, one after the other");
ABSL_FLAG(int, seconds, 8, "how long faults are injected in one run");
ABSL_FLAG(int, hosts, 4, "entry hosts");
ABSL_FLAG(int, callers, 10, "callers at a time");
ABSL_FLAG(bool, planned, false, "only planned work: stops, changes, endpoints that leave");
ABSL_FLAG(std::string, folder, "/tmp/sedgechute-soak", "for settings and logs; one folder a seed");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace sedgechute;
using namespace sedgechute::soak;

constexpr int start_ms = 1500;
constexpr int recovery_ms = 12000; // the bound within which a fleet must serve again
constexpr int step_ms = 250;
constexpr double least_served = 0.8;
constexpr int tries_at_end = 10;

void sleep_ms(int span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

bool recovers(soak_world& world) {
  for (int waited = 0; waited < recovery_ms; waited += step_ms) {
    sleep_ms(step_ms);
    if (world.served_now(tries_at_end) >= least_served)
      return true;
  }
  return false;
}

/// \returns whether every promise was kept
bool run_seed(std::uint64_t seed, const std::string& programs) {
  soak_shape shape;
  shape.hosts = absl::GetFlag(FLAGS_hosts);
  shape.callers = absl::GetFlag(FLAGS_callers);
  shape.kind = absl::GetFlag(FLAGS_planned) ? soak_kind::planned_work : soak_kind::faults;
  shape.programs = programs;
  shape.folder = absl::GetFlag(FLAGS_folder) + "/" + std::to_string(seed);
  std::filesystem::create_directories(shape.folder);
  soak_world world{shape, seed};
  sleep_ms(start_ms);
  random_source pace{mix_hash(seed, 1)};
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
  while (std::chrono::steady_clock::now() < end) {
    world.inject();
    sleep_ms(static_cast<int>(30 + pace.below(350)));
  }
  world.heal();
  const bool recovered = recovers(world);
  world.stop_callers();
  std::vector<std::string> broken = world.kept().broken();
  if (!recovered)
    broken.emplace_back("does not serve again within the bound");
  std::cout << "seed " << seed << ": " << (broken.empty() ? "kept" : "BROKEN") << "; "
            << world.kept().summary() << std::endl;
  for (const std::string& one : broken)
    std::cout << "  " << one << '\n';
  if (!broken.empty())
    std::cout << "  logs: " << shape.folder << std::endl;
  else
    std::filesystem::remove_all(shape.folder);
  return broken.empty();
}

} // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Runs entry hosts as processes under random faults and checks from "
                               "outside that promises are kept.");
  absl::ParseCommandLine(argc, argv);
  (void)std::signal(SIGPIPE, SIG_IGN);
  const std::string programs = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (seed == 0)
    seed = 1 + random_source::from_system()() % 1000000;
  const int runs = absl::GetFlag(FLAGS_runs);
  int failed = 0;
  for (int i = 0; i < runs; ++i)
    failed += run_seed(seed + static_cast<std::uint64_t>(i), programs) ? 0 : 1;
  std::cout << R"({"first_seed":)" << seed << R"(,"passed":)" << runs - failed << R"(,"failed":)"
            << failed << "}" << std::endl;
  return failed == 0 ? 0 : 1;
}
