#include "standin/standin.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>

// NOLINTBEGIN(readability-identifier-naming): Abseil names the variables behind flags
ABSL_FLAG(std::string, address, "127.0.0.1", "IP to listen on");
ABSL_FLAG(int, port, 0, "first port; with --count, the following ones too");
ABSL_FLAG(int, count, 1, "engine, service: so many of them, on consecutive ports");
ABSL_FLAG(std::string, file, "", "hosts: the list; all: what to start, as examples/*/hosts.json");
ABSL_FLAG(std::string, example, "", "fleet: folder of the example");
ABSL_FLAG(std::int64_t, retain_records, 1'000'000, "log: records kept per stream");
ABSL_FLAG(std::int64_t, retain_ms, 0, "log: how long records are kept; 0: for ever");
ABSL_FLAG(std::int64_t, lag_ms, 0, "hosts: the list shown is that of so long ago");
ABSL_FLAG(std::int64_t, per_minute, 60, "weights: fetches allowed a minute");
ABSL_FLAG(std::vector<std::string>, models, {"lens-writer"}, "engine: models served");
ABSL_FLAG(std::string, name, "orders", "service: its name");
ABSL_FLAG(int, max_running, 16, "engine, service: requests run at a time");
ABSL_FLAG(double, first_token_ms, 40, "engine: time to the first token; 0: at once");
ABSL_FLAG(double, token_ms, 10, "engine: time between tokens; 0: at once");
ABSL_FLAG(double, prefill_tokens_per_s, 20'000, "engine: prompt tokens a second; 0: no limit");
ABSL_FLAG(std::int64_t, answer_tokens, 96, "engine: tokens of a typical answer");
ABSL_FLAG(std::int64_t, cache_blocks, 2048, "engine: prefix blocks cached");
ABSL_FLAG(double, work_ms, 5, "service: time a call takes");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace sedgechute;
using namespace sedgechute::standin;

constexpr int exit_usage = 2;

constexpr const char* usage =
    "Stand-ins of the outside systems, by docs/PLATFORM.md.\n"
    "  sedgechute-standin log|hosts|engine|service|weights --port N [flags]\n"
    "  sedgechute-standin all --file hosts.json\n"
    "  sedgechute-standin fleet --example examples/linsubrunnur\n"
    "Runs until SIGINT or SIGTERM. Faults: POST /admin/faults; what happened: GET /admin/stats.";

Poco::Net::SocketAddress address(int index = 0) {
  return {absl::GetFlag(FLAGS_address),
          static_cast<Poco::UInt16>(absl::GetFlag(FLAGS_port) + index)};
}

engine_options engine_from_flags(int index) {
  return {.address = address(index),
          .models = absl::GetFlag(FLAGS_models),
          .max_running = absl::GetFlag(FLAGS_max_running),
          .first_token_ms = absl::GetFlag(FLAGS_first_token_ms),
          .token_ms = absl::GetFlag(FLAGS_token_ms),
          .prefill_tokens_per_s = absl::GetFlag(FLAGS_prefill_tokens_per_s),
          .answer_tokens = absl::GetFlag(FLAGS_answer_tokens),
          .cache_blocks = static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_blocks))};
}

service_options service_from_flags(int index) {
  return {.address = address(index),
          .name = absl::GetFlag(FLAGS_name),
          .max_running = absl::GetFlag(FLAGS_max_running),
          .work_ms = absl::GetFlag(FLAGS_work_ms)};
}

void start_hosts(fleet& standins) {
  host_list_options options{.address = address(), .lag_ms = absl::GetFlag(FLAGS_lag_ms)};
  if (const std::string file = absl::GetFlag(FLAGS_file); !file.empty())
    options.entries = read_json_file(file)->getArray("hosts");
  standins.add_hosts(options);
}

/// \returns false for an unknown mode
bool start(const std::string& mode, fleet& standins) {
  const int count = absl::GetFlag(FLAGS_count);
  if (mode == "log")
    standins.add_log(
        {.address = address(),
         .retain_records = static_cast<std::size_t>(absl::GetFlag(FLAGS_retain_records)),
         .retain_ms = absl::GetFlag(FLAGS_retain_ms)});
  else if (mode == "hosts")
    start_hosts(standins);
  else if (mode == "weights")
    standins.add_weights({.address = address(), .per_minute = absl::GetFlag(FLAGS_per_minute)});
  else if (mode == "engine")
    for (int i = 0; i < count; ++i)
      standins.add_engine(engine_from_flags(i));
  else if (mode == "service")
    for (int i = 0; i < count; ++i)
      standins.add_service(service_from_flags(i));
  else if (mode == "all")
    standins.start(*read_json_file(absl::GetFlag(FLAGS_file)));
  else if (mode == "fleet")
    standins.start(*read_json_file(absl::GetFlag(FLAGS_example) + "/hosts.json"));
  else
    return false;
  return true;
}

void wait_for_signal(const sigset_t& wanted) {
  int received = 0;
  sigwait(&wanted, &received);
}

} // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(usage);
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  if (words.size() != 2) {
    std::cerr << usage << '\n';
    return exit_usage;
  }
  // Blocked before any thread starts, so that only the wait below takes the signals.
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGINT);
  sigaddset(&stops, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
  try {
    fleet standins;
    if (!start(words[1], standins)) {
      std::cerr << "unknown mode " << words[1] << '\n' << usage << '\n';
      return exit_usage;
    }
    std::cout << "sedgechute-standin: " << standins.size() << " started" << std::endl;
    wait_for_signal(stops);
    std::cout.flush();
    std::_Exit(0); // nothing here outlives the process; open streams are not waited for
  } catch (const Poco::Exception& failure) {
    std::cerr << "sedgechute-standin: " << failure.displayText() << '\n';
  } catch (const std::exception& failure) {
    std::cerr << "sedgechute-standin: " << failure.what() << '\n';
  }
  return 1;
}
