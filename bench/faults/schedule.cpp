#include "schedule.hpp"

#include <algorithm>

namespace sedgechute::ledger {

namespace {

constexpr std::size_t min_steps = 100;
constexpr std::uint64_t extra_steps = 60;
constexpr std::uint64_t heal_one_in = 16;

} // namespace

schedule make_schedule(std::uint64_t seed, mutation fault) {
  random_source random{seed};
  schedule s;
  s.seed = seed;
  s.heal = random.below(heal_one_in) == 0;
  s.model.hosts = static_cast<std::uint32_t>(3 + random.below(4));
  s.model.data_centres = static_cast<std::uint32_t>(1 + random.below(3));
  s.model.teams = static_cast<std::uint32_t>(1 + random.below(2));
  s.model.bought = static_cast<token_count>(500 + random.below(8000));
  s.model.ledger.min_slice = static_cast<token_count>(100 + random.below(1500));
  s.model.ledger.chunk_share = 8;
  s.model.ledger.repeat_window = 4 + random.below(40);
  s.model.ledger.report_interval = time_ms{500};
  s.model.ledger.busy_requests = static_cast<std::uint32_t>(1 + random.below(2));
  s.model.ledger.orphan_wait = time_ms{3000};
  s.model.ledger.probe_after = time_ms{1000};
  s.model.ledger.settled_retention = time_ms{60000};
  s.model.ledger.idle_close = time_ms{5000};
  s.model.ledger.abandon_wait = time_ms{2000};
  s.model.ledger.fault = fault;
  const std::size_t steps = min_steps + random.below(extra_steps);
  s.steps.reserve(steps);
  step_source source{random};
  for (std::size_t i = 0; i < steps; ++i)
    s.steps.push_back(source.next());
  return s;
}

findings run_schedule(const schedule& s) {
  fleet_model fleet{s.model, s.seed};
  for (const step& next : s.steps) {
    fleet.apply(next);
    fleet.check();
    if (!fleet.found().clean())
      return fleet.found();
  }
  if (s.heal)
    fleet.heal_and_check();
  return fleet.found();
}

schedule shrink(schedule s) {
  for (std::size_t size = s.steps.size() / 2; size > 0; size /= 2) {
    for (std::size_t at = 0; at + size <= s.steps.size();) {
      schedule shorter = s;
      const auto begin = shorter.steps.begin() + static_cast<std::ptrdiff_t>(at);
      shorter.steps.erase(begin, begin + static_cast<std::ptrdiff_t>(size));
      if (run_schedule(shorter).clean())
        at += size;
      else
        s = std::move(shorter);
    }
  }
  return s;
}

} // namespace sedgechute::ledger
