#include "entry/entry.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <malloc.h>
#include <poll.h>
#include <pthread.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <iostream>
#include <sstream>
#include <system_error>
#include <thread>

ABSL_FLAG(std::string, settings, "",
          "JSON file with this host's settings; $SEDGECHUTE_CONFIG when not given");

ABSL_FLAG(bool, check, false, "checks the settings, says what is wrong with them, and ends");
ABSL_FLAG(
    std::string, explain, "",
    "id of a request: reads log lines of hosts from standard input and shows what became of it");

namespace {

using namespace sedgechute;

constexpr int exit_ok = 0;
constexpr int exit_not_found = 1;
constexpr int exit_bad_settings = 2;

// Many threads would otherwise spread over many malloc arenas and keep what each freed.
constexpr int malloc_arenas = 2;
constexpr int malloc_trim_bytes = 256 * 1024;

// Lines about one event, team and endpoint in a second: above what one host serves for one team.
constexpr std::uint32_t lines_a_second = 100;

// Some three seconds of lines at a host's usual load; 300 bytes each.
constexpr std::size_t queued_lines = 2000;

std::string settings_file() {
  std::string file = absl::GetFlag(FLAGS_settings);
  if (file.empty())
    if (const char* named = std::getenv("SEDGECHUTE_CONFIG"))
      file = named;
  return file;
}

settings_reading read_settings(const std::string& file) {
  if (file.empty())
    return {.faults = {{"settings", "no file is named: use --settings or $SEDGECHUTE_CONFIG"}}};
  std::ifstream in{file};
  std::ostringstream text;
  text << in.rdbuf();
  std::error_code fault; // a file that has gone meanwhile is no directory
  if (!in || std::filesystem::is_directory(file, fault))
    return {.faults = {{file, "cannot be read"}}};
  return check_entry_settings(file, text.str());
}

/// \returns whether there are any
bool tell_faults(const settings_reading& reading) {
  for (const settings_fault& fault : reading.faults)
    std::cerr << "sedgechute-entry: " << fault.where << ": " << fault.why << '\n';
  return !reading.faults.empty();
}

sigset_t set_of(std::initializer_list<int> numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : numbers)
    sigaddset(&signals, number);
  return signals;
}

// Signals are blocked before any thread starts, so that only the waits below receive them.
void block_signals() {
  const sigset_t signals = set_of({SIGTERM, SIGINT, SIGHUP});
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
}

// Addresses and names cannot change while callers are connected; what a new file says holds from
// the next start on. It is checked at once, so that a fault shows before that.
void check_again(const std::string& file, structured_log& log) {
  const settings_reading reading = read_settings(file);
  for (const settings_fault& fault : reading.faults)
    log.write(severity::error, "settings_invalid", {},
              {{log_field::path, fault.where}, {log_field::reason, fault.why}});
  if (reading.faults.empty())
    log.write(severity::info, "settings_checked", {}, {{log_field::path, file}});
}

// On a thread of its own: the file may lie on storage that hangs, and the signal to stop must be
// noticed all the same.
void check_at_each_change(const std::string& file, structured_log& log) {
  std::thread{[file, &log] {
    const sigset_t change = set_of({SIGHUP});
    for (int received = 0; sigwait(&change, &received) == 0;)
      check_again(file, log);
  }}.detach(); // lives as long as the process
}

const sigset_t& stop_signals() {
  static const sigset_t signals = set_of({SIGTERM, SIGINT});
  return signals;
}

// The signal is not taken: it stays pending, so that `stop_requested` holds from the signal on.
void wait_for_stop() {
  pollfd signals{::signalfd(-1, &stop_signals(), SFD_CLOEXEC), POLLIN, 0};
  if (signals.fd < 0)
    throw std::system_error{errno, std::generic_category(), "signalfd"};
  while (::poll(&signals, 1, -1) <= 0) {
  }
}

// A process that was paused across the signal answers what came meanwhile before the thread that
// waits for the signal runs.
bool stop_requested() {
  sigset_t pending{};
  sigpending(&pending);
  return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

// Standard error may be the same pipe that nobody reads; then nothing can be told.
void tell_unwritten(std::uint64_t lines) {
  pollfd out{STDERR_FILENO, POLLOUT, 0};
  if (lines > 0 && ::poll(&out, 1, 0) > 0 && (out.revents & POLLOUT) != 0)
    std::cerr << "sedgechute-entry: " << lines << " lines of the log were not written\n";
}

int check() {
  const std::string file = settings_file();
  const settings_reading reading = read_settings(file);
  if (tell_faults(reading))
    return exit_bad_settings;
  for (const std::string& name : reading.unknown)
    std::cout << file << " /" << name << ": unknown, ignored\n";
  std::cout << file << ": settings of host " << reading.settings.host << " are valid\n";
  return exit_ok;
}

int explain(const std::string& request) {
  const std::size_t lines = explain_request(std::cin, request, std::cout);
  if (lines == 0)
    std::cerr << "no line names request " << request << '\n';
  return lines == 0 ? exit_not_found : exit_ok;
}

int run() {
  block_signals();
  const std::string file = settings_file();
  const settings_reading reading = read_settings(file);
  if (tell_faults(reading))
    return exit_bad_settings;
  structured_log log{{.host = reading.settings.host,
                      .file = {},
                      .to_standard_output = true,
                      .repeats = lines_a_second,
                      .queued_lines = queued_lines}};
  for (const std::string& name : reading.unknown)
    log.write(severity::warning, "setting_ignored", {}, {{log_field::path, name}});
  const steady_clock time;
  entry_host self{reading.settings, time, log, stop_requested};
  self.start();
  check_at_each_change(file, log);
  wait_for_stop();
  const time_ms left = self.stop();
  tell_unwritten(log.finish(left));
  std::_Exit(exit_ok); // callers that outlast the grace still hold threads
}

} // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Serves callers of the fleet on the platform of its users.\n"
                               "Usage: sedgechute-entry --settings FILE [--check]\n"
                               "       sedgechute-entry --explain REQUEST-ID < LOG-LINES");
  absl::ParseCommandLine(argc, argv);
  mallopt(M_ARENA_MAX, malloc_arenas);
  mallopt(M_TRIM_THRESHOLD, malloc_trim_bytes);
  try {
    if (const std::string request = absl::GetFlag(FLAGS_explain); !request.empty())
      return explain(request);
    if (absl::GetFlag(FLAGS_check))
      return check();
    return run();
  } catch (const error& failure) {
    std::cerr << "sedgechute-entry: " << failure.what() << '\n';
    return exit_bad_settings;
  } catch (const std::exception& failure) {
    std::cerr << "sedgechute-entry: cannot start: " << failure.what() << '\n';
    return exit_bad_settings;
  }
}
