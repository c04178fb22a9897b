#include "pool/pool.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Stringifier.h>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <span>
#include <string>

namespace {

using namespace sedgechute;
using namespace sedgechute::pool;

constexpr double ms_a_second = 1000;
constexpr double run_ms = 45'000;
constexpr double quick_run_ms = 15'000;
constexpr double warm_up_ms = 5'000; // engines begin with nothing kept

/// \brief Traffic under a name.
struct scenario {
  std::string name;
  traffic how;
  double from_ms{warm_up_ms}; ///< requests before are not counted
};

struct selection {
  std::vector<std::string> files{DEPLOYMENTS "/drafts.json", DEPLOYMENTS "/listings.json"};
  std::string only; ///< a scenario; empty: all
  std::uint64_t seeds{3};
  double duration_ms{run_ms};
  std::string policy; ///< empty: all
  choice_weights weights;
  world_options options;
};

traffic at_load(double load, double duration_ms) {
  traffic how;
  how.load = load;
  how.duration_ms = duration_ms;
  return how;
}

// A third of the way into the run, for a fifth of it.
traffic surge(double times, std::uint32_t teams, double duration_ms) {
  traffic how = at_load(1, duration_ms);
  how.surge = times;
  how.surging_teams = teams;
  how.surge_from_ms = duration_ms / 3;
  how.surge_until_ms = duration_ms / 3 + duration_ms / 5;
  return how;
}

// Prompts of the first kind are the longest; the others come as usual.
traffic long_prompts(const deployment& of, double times, double duration_ms) {
  traffic how = at_load(1, duration_ms);
  how.kind_factors.assign(of.kinds.size(), 1);
  how.kind_factors.front() = times;
  return how;
}

// Days as they were measured on the users' platform, from engines that keep nothing yet; there
// machines also fail.
std::vector<scenario> measured_days() {
  constexpr double usual_part = 0.89; // of the usual traffic came on the quiet day
  traffic quiet = at_load(usual_part, 34'000);
  quiet.surge = 2.4;
  quiet.surging_teams = 1;
  quiet.surge_from_ms = 15'000;
  quiet.surge_until_ms = 21'000;
  traffic high = at_load(1, 41'000);
  high.surge = 2.5;
  high.surging_teams = 3;
  high.surge_from_ms = 17'000;
  high.surge_until_ms = 23'000;
  return {{"quiet day", quiet, 0}, {"high day", high, 0}};
}

std::vector<scenario> scenarios(const deployment& of, double duration_ms) {
  std::vector<scenario> all;
  for (const char* load : {"0.5", "0.75", "1.0", "1.25", "1.5", "1.75", "2.0"})
    all.push_back({std::string{"load "} + load, at_load(std::stod(load), duration_ms)});
  all.push_back({"burst", surge(3, 0, duration_ms)});
  all.push_back({"hot team", surge(7.5, 1, duration_ms)});
  all.push_back({"long prompts", long_prompts(of, 2.5, duration_ms)});
  for (const scenario& day : measured_days())
    all.push_back(day);
  return all;
}

run_figures play(const deployment& of, const scenario& what, policy_kind kind,
                 const selection& chosen) {
  std::vector<run_figures> runs;
  for (std::uint64_t seed = 1; seed <= chosen.seeds; ++seed) {
    traffic how = what.how;
    how.seed = seed;
    const auto way = make_policy(kind, of, chosen.weights, seed);
    world one{of, make_arrivals(of, how), *way, chosen.options};
    one.play();
    runs.push_back(figures_of(one, what.from_ms));
  }
  return mean_of(runs);
}

double part(double some, double all) {
  return all > 0 ? some / all : 0;
}

Poco::JSON::Object json_of(const kind_figures& kind) {
  const auto all = static_cast<double>(kind.requests);
  Poco::JSON::Object out;
  out.set("kind", kind.name);
  out.set("requests", kind.requests);
  out.set("in_time", part(static_cast<double>(kind.in_time), all));
  out.set("late", part(static_cast<double>(kind.late), all));
  out.set("refused", part(static_cast<double>(kind.refused), all));
  out.set("left", part(static_cast<double>(kind.left), all));
  out.set("first_ms_p50", kind.first_p50_ms);
  out.set("first_ms_p99", kind.first_p99_ms);
  out.set("worth", part(kind.earned, kind.owed));
  return out;
}

Poco::JSON::Object json_of(const run_figures& run) {
  Poco::JSON::Array kinds;
  for (const kind_figures& kind : run.kinds)
    kinds.add(json_of(kind));
  const auto shared = static_cast<double>(run.read.shared);
  Poco::JSON::Object out;
  out.set("worth", run.worth());
  out.set("kept", part(static_cast<double>(run.read.kept), shared));
  out.set("fetched", part(static_cast<double>(run.read.fetched), shared));
  out.set("read_again", part(static_cast<double>(run.read.read_again), shared));
  out.set("tokens_read", run.tokens_read);
  out.set("tokens_kept", run.read.kept);
  out.set("preemptions", run.preemptions);
  out.set("kinds", kinds);
  return out;
}

void print_line(const std::string& where, const std::string& what, policy_kind kind,
                const run_figures& run) {
  const auto shared = static_cast<double>(run.read.shared);
  std::cout << std::fixed << std::left << std::setw(10) << where << std::setw(14) << what
            << std::setw(19) << name_of(kind) << std::right << std::setprecision(3) << " worth "
            << run.worth() << " read again "
            << part(static_cast<double>(run.read.read_again), shared) << " kept "
            << part(static_cast<double>(run.read.kept), shared) << " preempted " << run.preemptions;
  for (const kind_figures& one : run.kinds) {
    const auto all = static_cast<double>(one.requests);
    std::cout << " | " << one.name << ' ' << std::setprecision(0) << one.first_p50_ms << '/'
              << one.first_p99_ms << " ms, " << std::setprecision(3)
              << part(static_cast<double>(one.in_time), all) << " in time, "
              << part(static_cast<double>(one.refused + one.left), all) << " lost";
  }
  std::cout << std::endl;
}

void set_weight(choice_weights& weights, const std::string& name, double value) {
  const std::vector<std::pair<std::string, double*>> all{
      {"tokens_read_a_ms", &weights.tokens_read_a_ms},
      {"waiting_prompt_tokens", &weights.waiting_prompt_tokens},
      {"wait_for_each_running_ms", &weights.wait_for_each_running_ms},
      {"wait_beyond_slots_ms", &weights.wait_beyond_slots_ms},
      {"reread_token_ms", &weights.reread_token_ms},
      {"fetched_token_ms", &weights.fetched_token_ms},
      {"away_token_ms", &weights.away_token_ms},
      {"other_centre_ms", &weights.other_centre_ms}};
  for (const auto& [known, place] : all)
    if (known == name) {
      *place = value;
      return;
    }
  throw error{error_kind::invalid_parameter, name, "is no weight of the choice"};
}

selection read_arguments(std::span<char*> arguments) {
  selection chosen;
  if (std::getenv("QUICK") != nullptr) { // NOLINT(concurrency-mt-unsafe): no thread runs
    chosen.seeds = 1;
    chosen.duration_ms = quick_run_ms;
  }
  for (std::size_t i = 1; i + 1 < arguments.size(); i += 2) {
    const std::string name{arguments[i]};
    const std::string value{arguments[i + 1]};
    if (name == "--deployment")
      chosen.files = {value};
    else if (name == "--scenario")
      chosen.only = value;
    else if (name == "--seeds")
      chosen.seeds = std::stoull(value);
    else if (name == "--duration_ms")
      chosen.duration_ms = std::stod(value);
    else if (name == "--policy")
      chosen.policy = value;
    else if (name == "--message_interval_ms")
      chosen.options.message_interval_ms = std::stod(value);
    else if (name.starts_with("--weight."))
      set_weight(chosen.weights, name.substr(std::string{"--weight."}.size()), std::stod(value));
    else
      throw error{error_kind::invalid_parameter, name, "is no option"};
  }
  return chosen;
}

void play_policies(const deployment& of, const scenario& what, const selection& chosen,
                   Poco::JSON::Array& runs) {
  for (const auto& [kind, name] : enum_names<policy_kind>::entries) {
    if (!chosen.policy.empty() && chosen.policy != name)
      continue;
    const run_figures run = play(of, what, kind, chosen);
    print_line(of.name, what.name, kind, run);
    Poco::JSON::Object out = json_of(run);
    out.set("deployment", of.name);
    out.set("scenario", what.name);
    out.set("policy", std::string{name});
    runs.add(out);
  }
}

void play_all(const selection& chosen) {
  Poco::JSON::Array runs;
  for (const std::string& file : chosen.files) {
    const deployment of = read_deployment(file);
    for (const scenario& what : scenarios(of, chosen.duration_ms))
      if (chosen.only.empty() || chosen.only == what.name)
        play_policies(of, what, chosen, runs);
  }
  Poco::JSON::Object whole;
  whole.set("seeds", chosen.seeds);
  whole.set("seconds", chosen.duration_ms / ms_a_second);
  whole.set("runs", runs);
  Poco::JSON::Stringifier::stringify(whole, std::cout);
  std::cout << '\n';
}

} // namespace

int main(int argc, char** argv) {
  try {
    play_all(read_arguments({argv, static_cast<std::size_t>(argc)}));
    return 0;
  } catch (const std::exception& reason) {
    std::cerr << reason.what() << '\n';
    return 2;
  }
}
