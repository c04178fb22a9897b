#include "daemon/impl/host.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, settings, "", "JSON file with this host's settings");

namespace {

using namespace sedgechute;

constexpr int exit_ok = 0;
constexpr int exit_bad_settings = 2;
constexpr int exit_cut_short = 3;

host_settings read_settings(const std::string& file) {
  std::ifstream in{file};
  if (!in)
    throw error{error_kind::invalid_settings, file, "cannot be read"};
  std::ostringstream text;
  text << in.rdbuf();
  auto settings = check_host_settings(file, text.str());
  if (!settings)
    throw error{error_kind::invalid_settings, file, "\n" + to_text(settings.problems)};
  check_credentials(*settings.value);
  return std::move(*settings.value);
}

// Thousands of threads would otherwise spread over many malloc arenas and keep what each freed.
void bound_malloc_arenas() {
  constexpr int arenas = 4;
  mallopt(M_ARENA_MAX, arenas);
}

// Signals are blocked before any thread starts, so that only the wait below receives them.
sigset_t block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// The first signal starts a graceful stop, however long its streams take. The second ends the
// process at once: requests in progress are cut, and their callers must ask again by their keys.
void wait_for_signals(const sigset_t& signals, host& self) {
  int received = 0;
  sigwait(&signals, &received);
  self.request_stop();
  sigwait(&signals, &received);
  std::_Exit(exit_cut_short);
}

int run() {
  host_settings settings = read_settings(absl::GetFlag(FLAGS_settings));
  const sigset_t signals = block_stop_signals();
  host self{std::move(settings)};
  self.start();
  std::thread signal_waiter{[&] { wait_for_signals(signals, self); }};
  signal_waiter.detach();
  self.wait_for_stop();
  self.drain();
  return exit_ok;
}

} // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "one entry host of a sedgechute fleet\n  sedgechuted --settings FILE");
  absl::ParseCommandLine(argc, argv);
  bound_malloc_arenas();
  try {
    return run();
  } catch (const std::exception& failure) {
    std::cerr << "sedgechuted: " << failure.what() << '\n';
    return exit_bad_settings;
  }
}
