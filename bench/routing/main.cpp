#include "fleet_router.hpp"
#include "kernels.hpp"
#include "other_routers.hpp"
#include "report.hpp"

#include <iostream>

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
    record.detected_ms = router.out_of_choice_at_ms(faulty_replica) - s.fault_at_ms;
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
  return record;
}

} // namespace

int main(int argc, char** argv) {
  const bool quick = argc > 1 && std::string_view{argv[1]} == "--quick";
  std::vector<run_record> records;
  for (const users& who : {linsubrunnur(), souq_sayarat()}) {
    scenario base;
    base.who = who;
    for (const double load : {0.5, 0.9, 1.0, 1.2, 3.0}) {
      if (quick && load != 0.9)
        continue;
      for (const auto way :
           {way_of_routing::fleet, way_of_routing::oracle, way_of_routing::naive}) {
        scenario s = base;
        s.load = load;
        records.push_back(play_one(s, way));
        print(std::cout, records.back());
      }
    }
    if (quick)
      continue;
    for (const fault trouble : {fault::none, fault::slow_replica, fault::dead_replica,
                                fault::poison, fault::flood, fault::huge_prompts}) {
      for (const auto way : {way_of_routing::fleet, way_of_routing::naive}) {
        scenario s = base;
        s.load = 0.7;
        s.trouble = trouble;
        records.push_back(play_one(s, way));
        print(std::cout, records.back());
      }
    }
  }
  const kernel_times kernels = time_kernels();
  print(std::cout, kernels);
  print_targets(std::cout, records, kernels);
  print_json(std::cout, records, kernels);
  return 0;
}
