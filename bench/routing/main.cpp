#include "fleet_router.hpp"
#include "kernels.hpp"
#include "other_routers.hpp"
#include "report.hpp"

#include <iostream>
#include <optional>
#include <span>
#include <string>

namespace {

using namespace sedgechute;
using namespace sedgechute::bench;

run_record play_one(const scenario& s, way_of_routing way) {
  run_record record;
  record.setting = s;
  record.way = way;
  driver world{s};
  if (way == way_of_routing::fleet) {
    fleet_router router{s};
    world.play(router);
    record.detected_ms = router.out_of_choice_at_ms() - s.fault_at_ms;
    record.bytes_per_s = router.bytes_per_s(world);
    record.messages_per_s = router.messages_per_s(world);
    record.wrongly_quarantined = router.wrongly_quarantined(world);
  } else if (way == way_of_routing::oracle) {
    oracle_router router{s};
    world.play(router);
  } else {
    naive_router router{s};
    world.play(router);
  }
  record.figures = summarise(world);
  record.recovered_ms = recovery_ms(world);
  record.other_chat_p99_ms = chat_p99_without(world, flooding_team, s.fault_at_ms);
  record.settled_chat_p99_ms = chat_p99_without(world, flooding_team, s.fault_at_ms + settling_ms);
  return record;
}

/// \brief What to run; everything when nothing is said.
struct selection {
  std::optional<double> load;
  std::optional<fault> trouble;
  std::uint64_t seed{1};
  bool kernels_only{};
};

selection read_arguments(std::span<char*> arguments) {
  selection chosen;
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    const std::string_view name{arguments[i]};
    const std::string value{i + 1 < arguments.size() ? arguments[i + 1] : ""};
    if (name == "--kernels")
      chosen.kernels_only = true;
    else if (name == "--load")
      chosen.load = std::stod(value);
    else if (name == "--fault")
      chosen.trouble = value_named<fault>(value);
    else if (name == "--seed")
      chosen.seed = std::stoull(value);
  }
  return chosen;
}

// Long enough for some 80 chats beyond the p99.
constexpr double load_run_ms = 300'000.0;

void play_loads(const users& who, const selection& chosen, std::vector<run_record>& records) {
  for (const double load : {0.5, 0.9, 1.0, 1.2, 3.0}) {
    if (chosen.trouble || (chosen.load && *chosen.load != load))
      continue;
    for (const auto way : {way_of_routing::fleet, way_of_routing::oracle, way_of_routing::naive}) {
      scenario s;
      s.who = who;
      s.load = load;
      s.seed = chosen.seed;
      s.duration_ms = load_run_ms;
      records.push_back(play_one(s, way));
      print(std::cout, records.back());
    }
  }
}

void play_faults(const users& who, const selection& chosen, std::vector<run_record>& records) {
  constexpr double load = 0.7;
  for (const fault trouble : {fault::none, fault::slow_replica, fault::dead_replica, fault::poison,
                              fault::flood, fault::huge_prompts}) {
    const bool wanted = !chosen.trouble || trouble == *chosen.trouble || trouble == fault::none;
    if (chosen.load || !wanted)
      continue;
    for (const auto way : {way_of_routing::fleet, way_of_routing::naive}) {
      scenario s;
      s.who = who;
      s.load = load;
      s.trouble = trouble;
      s.seed = chosen.seed;
      records.push_back(play_one(s, way));
      print(std::cout, records.back());
    }
  }
}

} // namespace

int main(int argc, char** argv) {
  const selection chosen = read_arguments({argv, static_cast<std::size_t>(argc)});
  std::vector<run_record> records;
  if (!chosen.kernels_only)
    for (const users& who : {linsubrunnur(), souq_sayarat()}) {
      play_loads(who, chosen, records);
      play_faults(who, chosen, records);
    }
  const kernel_times kernels = time_kernels();
  print(std::cout, kernels);
  print_targets(std::cout, records, kernels);
  print_json(std::cout, records, kernels);
  return 0;
}
