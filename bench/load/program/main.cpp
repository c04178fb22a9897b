#include "load/load.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <Poco/Exception.h>

#include <atomic>
#include <iostream>
#include <thread>

// NOLINTBEGIN(readability-identifier-naming): Abseil names the variables behind flags
ABSL_FLAG(std::vector<std::string>, targets, {}, "callers' addresses of hosts, IP:port");
ABSL_FLAG(std::vector<std::string>, direct, {}, "addresses of engines to call beside them");
ABSL_FLAG(std::string, key, "", "bearer key");
ABSL_FLAG(std::string, team, "-", "team that the key belongs to");
ABSL_FLAG(std::string, request_class, "", "class to ask for");
ABSL_FLAG(std::string, model, "lens-writer", "model to ask for");
ABSL_FLAG(std::int64_t, prompt_bytes, 400, "bytes of a prompt");
ABSL_FLAG(std::int64_t, max_tokens, 32, "longest answer");
ABSL_FLAG(bool, keyed, false, "send an Idempotency-Key, and try again when a connection breaks");
ABSL_FLAG(double, rate, 200, "rate, script: calls a second to hosts, and as many to engines");
ABSL_FLAG(double, seconds, 10, "rate: how long");
ABSL_FLAG(std::int64_t, count, 2000, "streams: how many at a time");
ABSL_FLAG(std::int64_t, ramp_ms, 2000, "streams: opened over so long");
ABSL_FLAG(std::string, file, "", "script: requests, one JSON object a line");
ABSL_FLAG(std::string, keys, "", "script: file with a line TEAM KEY for each team");
ABSL_FLAG(int, repeats, 1, "script: rounds to play");
ABSL_FLAG(double, warm_up_s, 0, "calls due in the first seconds are left out of the latencies");
ABSL_FLAG(std::int64_t, workers, 512, "most calls in progress at a time");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and prompts");
ABSL_FLAG(std::vector<std::string>, pids, {}, "processes whose time and memory to report");
ABSL_FLAG(std::vector<std::string>, endpoints, {}, "stand-ins to ask what really ran");
ABSL_FLAG(std::vector<std::string>, admins, {}, "admin addresses of hosts, to ask for budgets");
ABSL_FLAG(std::int64_t, service_tokens, 0, "what a call of a plain service is billed");
ABSL_FLAG(std::string, admin_key, "", "bearer key of an operator");
// NOLINTEND(readability-identifier-naming)

namespace {

using namespace sedgechute;
using namespace sedgechute::load;

constexpr const char* usage =
    "Load over real sockets; the last line is one JSON object.\n"
    "  sedgechute-load rate --targets IP:PORT --key KEY [--direct IP:PORT,...] --rate N\n"
    "  sedgechute-load streams --targets IP:PORT --key KEY --count N\n"
    "  sedgechute-load script --targets IP:PORT,... --file requests.jsonl [--endpoints ...]\n"
    "Exits 1 when an answer was mixed, disordered or cut, something ran twice or was overspent,\n"
    "2 for a wrong command line.";

std::vector<Poco::Net::SocketAddress> addresses(const std::vector<std::string>& texts) {
  std::vector<Poco::Net::SocketAddress> found;
  for (const std::string& text : texts)
    if (!text.empty())
      found.emplace_back(text);
  return found;
}

std::vector<target> targets_from(const std::vector<std::string>& texts, bool direct) {
  std::vector<target> found;
  for (const auto& address : addresses(texts))
    found.push_back({address, direct});
  return found;
}

call_shape shape_from_flags() {
  return {.team = absl::GetFlag(FLAGS_team),
          .bearer = absl::GetFlag(FLAGS_key),
          .class_name = absl::GetFlag(FLAGS_request_class),
          .model = absl::GetFlag(FLAGS_model),
          .prompt_bytes = absl::GetFlag(FLAGS_prompt_bytes),
          .max_tokens = absl::GetFlag(FLAGS_max_tokens),
          .keyed = absl::GetFlag(FLAGS_keyed)};
}

std::vector<load_call> plan_streams(const call_shape& shape) {
  const std::int64_t count = absl::GetFlag(FLAGS_count);
  std::vector<load_call> calls;
  for (std::int64_t i = 0; i < count; ++i) {
    calls.push_back(make_chat_call(shape, absl::GetFlag(FLAGS_seed) + i));
    calls.back().due = time_ms{i * absl::GetFlag(FLAGS_ramp_ms) / count};
  }
  return calls;
}

std::vector<load_call> plan_script(bool direct) {
  script_options options{.per_second = absl::GetFlag(FLAGS_rate),
                         .repeats = absl::GetFlag(FLAGS_repeats),
                         .chat_only = direct};
  if (const std::string keys = absl::GetFlag(FLAGS_keys); !keys.empty())
    options.keys = read_keys(keys);
  if (direct)
    options.salt = "direct. ";
  return read_script(absl::GetFlag(FLAGS_file), options);
}

void play_all(const std::vector<load_call>& calls, const std::vector<load_call>& direct_calls,
              run_options options, audit& checks, measured& into) {
  const auto hosts = targets_from(absl::GetFlag(FLAGS_targets), false);
  const auto engines = targets_from(absl::GetFlag(FLAGS_direct), true);
  std::vector<int> pids;
  for (const std::string& pid : absl::GetFlag(FLAGS_pids))
    if (!pid.empty())
      pids.push_back(std::stoi(pid));
  process_watch watch{pids};
  std::atomic<bool> over{false};
  std::thread watcher{[&] {
    while (!over) {
      watch.look();
      std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
  }};
  const instant begin = std::chrono::steady_clock::now();
  const instant start = begin + std::chrono::milliseconds{100};
  run_options direct_options = options;
  direct_options.pinned = true;
  std::thread beside{[&] {
    if (!engines.empty())
      run(direct_calls, engines, direct_options, start, into.engines);
  }};
  options.seen = [&](const load_call& call, const call_outcome& outcome) {
    checks.note(call, outcome);
  };
  if (!hosts.empty())
    run(calls, hosts, options, start, into.hosts);
  beside.join();
  over = true;
  watcher.join();
  into.cpu_s = watch.cpu_seconds();
  into.resident_mb = watch.most_resident_mb();
  into.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

using budgets = std::map<std::string, budget_state>;

budgets read_budgets(const audit& checks, const std::vector<load_call>& calls) {
  budgets found;
  for (const load_call& call : calls)
    if (!found.contains(call.team))
      if (const auto state = checks.budget_of(call.team))
        found[call.team] = *state;
  return found;
}

// Every answered call was told its usage. What a team was billed beyond that, while none of its
// calls was refused half way, was billed twice.
void compare_bills(const audit& checks, const budgets& before, const budgets& now,
                   broken_invariants& broken) {
  for (const auto& [team, state] : now) {
    ++broken.budgets_read;
    broken.overspend_tokens += std::max<std::int64_t>(0, state.spent - state.bought);
    const auto earlier = before.find(team);
    const auto use = checks.use_by_team().find(team);
    if (earlier == before.end() || use == checks.use_by_team().end() || !use->second.all_answered)
      continue;
    const std::int64_t spent = state.spent - earlier->second.spent;
    broken.double_billed += std::max<std::int64_t>(0, spent - use->second.tokens);
    broken.unbilled_tokens += std::max<std::int64_t>(0, use->second.tokens - spent);
  }
}

// Bills reach the log a little after the answers, and the host that is asked a little later still.
broken_invariants check_bills(const audit& checks, const std::vector<load_call>& calls,
                              const budgets& before) {
  constexpr int most_looks = 40;
  constexpr std::chrono::milliseconds between{250};
  broken_invariants broken;
  for (int look = 0; look < most_looks; ++look) {
    broken = {};
    compare_bills(checks, before, read_budgets(checks, calls), broken);
    if (broken.budgets_read == 0 || broken.unbilled_tokens == 0)
      break;
    std::this_thread::sleep_for(between);
  }
  return broken;
}

broken_invariants check_invariants(audit& checks, const std::vector<load_call>& calls,
                                   const budgets& before) {
  broken_invariants broken = check_bills(checks, calls, before);
  checks.read_runs();
  broken.ran_twice = checks.ran_twice();
  broken.ran_though_refused = checks.ran_though_refused();
  broken.budgets_missing = broken.budgets_read == 0 && !absl::GetFlag(FLAGS_admins).empty();
  if (broken.budgets_missing)
    std::cout << "no host told a budget: overspend and double billing were not checked\n";
  return broken;
}

time_ms warm_up() {
  constexpr double ms_a_second = 1000.0;
  return time_ms{static_cast<std::int64_t>(absl::GetFlag(FLAGS_warm_up_s) * ms_a_second)};
}

int measure(const std::string& mode) {
  const call_shape shape = shape_from_flags();
  run_options options{.workers = static_cast<std::size_t>(absl::GetFlag(FLAGS_workers)),
                      .warm_up = warm_up()};
  std::vector<load_call> calls;
  std::vector<load_call> direct;
  if (mode == "rate") {
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    const double seconds = absl::GetFlag(FLAGS_seconds);
    calls = plan_rate(shape, absl::GetFlag(FLAGS_rate), seconds, seed);
    direct = plan_rate(shape, absl::GetFlag(FLAGS_rate), seconds, seed + 1'000'000);
  } else if (mode == "streams") {
    calls = direct = plan_streams(shape);
    options.workers = calls.size();
  } else if (mode == "script") {
    calls = plan_script(false);
    direct = plan_script(true);
  } else {
    std::cerr << usage << '\n';
    return 2;
  }
  audit checks{addresses(absl::GetFlag(FLAGS_endpoints)), addresses(absl::GetFlag(FLAGS_admins)),
               absl::GetFlag(FLAGS_admin_key), absl::GetFlag(FLAGS_service_tokens)};
  const budgets before = read_budgets(checks, calls);
  measured result;
  play_all(calls, direct, options, checks, result);
  return report(result, check_invariants(checks, calls, before), std::cout);
}

} // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(usage);
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  if (words.size() != 2) {
    std::cerr << usage << '\n';
    return 2;
  }
  try {
    return measure(words[1]);
  } catch (const Poco::Exception& failure) {
    std::cerr << "sedgechute-load: " << failure.displayText() << '\n';
  } catch (const std::exception& failure) {
    std::cerr << "sedgechute-load: " << failure.what() << '\n';
  }
  return 1;
}
