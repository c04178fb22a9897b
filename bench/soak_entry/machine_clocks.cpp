// The clocks of the machine as the soak sets them: what the program defines goes before what the C
// library defines, for the program and for the libraries that it loads.

#include <absl/flags/flag.h>

#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <ctime>
#include <fcntl.h>

namespace {

// Constant from the start: clocks are read before any other object is made.
constinit std::atomic<int> clocks_file{-1};

void open_clocks(const std::string& path) {
  if (!path.empty())
    clocks_file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
}

/// \returns by how many milliseconds a clock is ahead
std::int64_t ahead_ms(clockid_t which) noexcept {
  std::array<std::int64_t, 2> ahead{}; // of the time of day, and of the time since the start
  const int file = clocks_file;
  if (file < 0 || (which != CLOCK_REALTIME && which != CLOCK_BOOTTIME))
    return 0;
  if (::pread(file, ahead.data(), sizeof ahead, 0) != static_cast<ssize_t>(sizeof ahead))
    return 0;
  return which == CLOCK_REALTIME ? ahead[0] : ahead[1];
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): Abseil names the variables behind flags
ABSL_FLAG(std::string, clocks, "", "file with what the machine's clocks are ahead, in ms")
    .OnUpdate([] { open_clocks(absl::GetFlag(FLAGS_clocks)); });

extern "C" int clock_gettime(clockid_t which, timespec* now) noexcept {
  constexpr std::int64_t ms_a_second = 1000;
  constexpr std::int64_t ns_a_ms = 1'000'000;
  constexpr std::int64_t ns_a_second = ms_a_second * ns_a_ms;
  const long failed = ::syscall(SYS_clock_gettime, which, now);
  if (failed != 0)
    return -1;
  const std::int64_t ahead = ahead_ms(which);
  std::int64_t ns = now->tv_nsec + ahead % ms_a_second * ns_a_ms;
  now->tv_sec += ahead / ms_a_second + (ns < 0 ? -1 : ns / ns_a_second);
  ns = ns < 0 ? ns + ns_a_second : ns % ns_a_second;
  now->tv_nsec = ns;
  return 0;
}
