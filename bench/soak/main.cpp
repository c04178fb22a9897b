#include "promises.hpp"
#include "soak_world.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sys/file.h>
#include <sys/resource.h>
#include <system_error>
#include <unistd.h>

// NOLINTBEGIN(readability-identifier-naming): Abseil names the variables behind flags
ABSL_FLAG(std::uint64_t, seed, 0, "first seed; 0 draws one");
ABSL_FLAG(int, runs, 1, "so many seeds, one after the other");
ABSL_FLAG(int, seconds, 8, "how long faults are injected in one run");
ABSL_FLAG(int, hosts, 4, "entry hosts, each a process");
ABSL_FLAG(int, endpoints, 6, "endpoints of the two services");
ABSL_FLAG(int, callers, 10, "callers at a time");
ABSL_FLAG(bool, planned, false, "only planned work: stops, changes, endpoints that leave");
ABSL_FLAG(std::vector<std::string>, families, {}, "only these kinds of faults; empty: by the seed");
ABSL_FLAG(std::vector<std::string>, without, {}, "none of these kinds of faults");
ABSL_FLAG(std::string, folder, "/tmp/sedgechute-soak", "for settings and logs; one folder a seed");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace sedgechute;
using namespace sedgechute::soak;

constexpr time_ms start_span{1500};
constexpr time_ms check_interval{2000};
constexpr time_ms spend_span{2500}; // in which a team uses up what it has left
constexpr int recovery_ms = 12000;  // the bound within which a fleet must serve again
constexpr int step_ms = 250;
constexpr double least_served = 0.8;
constexpr std::size_t most_told = 20; // of what was broken

soak_shape shape_of(std::uint64_t seed, const std::string& programs) {
  soak_shape shape;
  shape.hosts = absl::GetFlag(FLAGS_hosts);
  shape.endpoints = absl::GetFlag(FLAGS_endpoints);
  shape.callers = absl::GetFlag(FLAGS_callers);
  shape.kind = absl::GetFlag(FLAGS_planned) ? soak_kind::planned_work : soak_kind::faults;
  shape.families = absl::GetFlag(FLAGS_families);
  shape.without = absl::GetFlag(FLAGS_without);
  shape.programs = programs;
  shape.folder = absl::GetFlag(FLAGS_folder) + "/" + std::to_string(seed);
  return shape;
}

// Callers and hosts keep connections, each of which has three ends here: a caller's or an
// endpoint's, and both of the proxy between them. Without descriptors the soak would fail, and not
// what it runs.
bool fits_descriptors(const soak_shape& shape) {
  constexpr int ends = 3;
  constexpr int store_connections = 8; // of a host
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const int needed = shape.hosts * ends * (shape.endpoints + shape.callers + store_connections);
  if (static_cast<rlim_t>(needed) <= limit.rlim_cur)
    return true;
  std::cerr << "sedgechute-soak: needs up to " << needed << " descriptors of " << limit.rlim_cur
            << ": take fewer hosts, endpoints or callers\n";
  return false;
}

/// Holds a folder, so that no other run removes its files. It is released with the process.
class folder_lock {
 public:
  /// \throws std::system_error when another run holds the folder
  explicit folder_lock(const std::string& folder) {
    const std::string name = folder + ".lock";
    file_ = ::open(name.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (file_ >= 0 && ::flock(file_, LOCK_EX | LOCK_NB) == 0)
      return;
    const std::error_code why{errno, std::generic_category()};
    if (file_ >= 0)
      ::close(file_);
    throw std::system_error{why, folder + " is in use by another run"};
  }
  folder_lock(const folder_lock&) = delete;
  folder_lock& operator=(const folder_lock&) = delete;
  ~folder_lock() { ::close(file_); }

 private:
  int file_;
};

// Hosts end with the soak also when it is told to end.
std::atomic<bool> ending{false}; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

/// \returns what was broken at the first look that found something, or at the end
std::vector<std::string> play(soak_world& world) {
  const promised_bounds bounds;
  world.run_calm(start_span);
  time_ms left{absl::GetFlag(FLAGS_seconds) * 1000};
  for (; left > time_ms{} && !ending; left -= check_interval) {
    world.run(std::min(left, check_interval));
    if (auto broken = broken_promises(world.seen(), bounds); !broken.empty())
      return broken;
  }
  world.heal();
  bool recovered = false;
  for (int waited = 0; waited < recovery_ms && !recovered; waited += step_ms) {
    world.run_calm(time_ms{step_ms});
    recovered = world.served_now() >= least_served;
  }
  world.spend_first_team();
  world.run_calm(spend_span);
  world.stop_callers();
  std::vector<std::string> broken = broken_promises(world.seen(), bounds);
  if (!recovered)
    broken.emplace_back("recovery: does not serve again within the bound");
  return broken;
}

/// \returns whether every promise was kept
bool run_seed(std::uint64_t seed, const std::string& programs) {
  const soak_shape shape = shape_of(seed, programs);
  std::filesystem::create_directories(absl::GetFlag(FLAGS_folder));
  const folder_lock lock{shape.folder};
  std::filesystem::remove_all(shape.folder);
  std::filesystem::create_directories(shape.folder);
  soak_world world{shape, seed};
  const std::vector<std::string> broken = play(world);
  const observations seen = world.seen();
  std::cout << "seed " << seed << ": " << (broken.empty() ? "kept" : "BROKEN") << "; "
            << summary_of(seen) << "; " << world.families() << std::endl;
  for (std::size_t i = 0; i < broken.size() && i < most_told; ++i)
    std::cout << "  " << broken[i] << '\n';
  if (broken.size() > most_told)
    std::cout << "  and " << broken.size() - most_told << " more\n";
  if (broken.empty()) {
    std::filesystem::remove_all(shape.folder);
    return true;
  }
  std::ofstream lines{shape.folder + "/seen.log"};
  write_lines(seen, wall_time() - steady_clock{}.now(), lines);
  for (const std::string& one : broken)
    lines << "broken " << one << '\n';
  std::cout << "  logs: " << shape.folder << std::endl;
  return false;
}

} // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Runs entry hosts as processes under random faults and checks from "
                               "outside that promises are kept.");
  absl::ParseCommandLine(argc, argv);
  (void)std::signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGINT, SIGTERM, SIGHUP})
    (void)std::signal(number, [](int) { ending = true; });
  const std::string programs = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  if (seed == 0)
    seed = 1 + random_source::from_system()() % 1000000;
  const int runs = absl::GetFlag(FLAGS_runs);
  if (!fits_descriptors(shape_of(seed, programs)))
    return 2;
  int failed = 0;
  try {
    for (int i = 0; i < runs && !ending; ++i)
      failed += run_seed(seed + static_cast<std::uint64_t>(i), programs) ? 0 : 1;
  } catch (const std::system_error& failure) {
    std::cerr << "sedgechute-soak: " << failure.what() << '\n';
    return 2;
  }
  std::cout << R"({"first_seed":)" << seed << R"(,"passed":)" << runs - failed << R"(,"failed":)"
            << failed << "}" << std::endl;
  return failed == 0 ? 0 : 1;
}
