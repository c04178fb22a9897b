#include "routing/routing.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <memory>

namespace sedgechute::slopes {

namespace {

constexpr time_ms now{1'000'000};
const model_version model{model_id{"lens-writer"}, "2026-10"};

void messages(slope_table& table) {
  series share{"shares", "share_report_bytes", "B", "team named", {}};
  for (const std::size_t teams : {1U, 4U, 16U, 64U})
    share.points.push_back(
        {static_cast<double>(teams), static_cast<double>(share_message_bytes(1, teams))});
  table.add(share);
  series pools{"shares", "share_pool_bytes", "B", "pool with one team", {}};
  for (const std::size_t count : {1U, 4U, 13U})
    pools.points.push_back(
        {static_cast<double>(count), static_cast<double>(share_message_bytes(count, 1))});
  table.add(pools);
  series load{"loads", "load_report_bytes", "B", "endpoint", {}};
  series use{"loads", "use_report_bytes", "B", "endpoint in use", {}};
  for (const std::size_t endpoints : {1U, 8U, 64U, 500U}) {
    const auto x = static_cast<double>(endpoints);
    load.points.push_back({x, static_cast<double>(load_message_bytes(endpoints))});
    use.points.push_back({x, static_cast<double>(use_message_bytes(endpoints))});
  }
  table.add(load);
  table.add(use);
}

std::unique_ptr<endpoint_table> table_with(std::size_t endpoints, std::size_t pools) {
  auto made = std::make_unique<endpoint_table>();
  for (std::size_t i = 0; i < endpoints; ++i) {
    made->add({endpoint_name(i), pool_name(i % pools), data_centre_name(i)});
    load_report report;
    report.running = static_cast<std::uint32_t>(i % 20);
    report.max_running = 64;
    report.prompt_tokens_per_s = 8000;
    report.tokens_per_s = 700;
    report.models = {model};
    made->apply_report(endpoint_name(i), report, now);
  }
  return made;
}

void endpoints(slope_table& table) {
  series memory{"endpoints", "endpoint_state_bytes", "B", "endpoint", {}};
  series choice{"endpoints", "choose_us", "us", "1000 endpoints", {}};
  series applied{"endpoints", "load_apply_us", "us", "load report", {}};
  constexpr int repeats = 20'000;
  for (const std::size_t count : {250U, 625U, 1250U, 2500U}) {
    const auto x = static_cast<double>(count);
    const double before = allocated_bytes();
    const auto known = table_with(count, 13);
    memory.points.push_back({x, allocated_bytes() - before});
    random_source random{1};
    route_need need;
    need.pool = pool_name(0);
    need.model = model;
    need.prompt_tokens = 800;
    need.output_tokens = 350;
    choice.points.push_back(
        {x / 1000.0, least_of(5, [&] {
           const double start = thread_cpu_us();
           for (int i = 0; i < repeats; ++i)
             keep(choose_endpoint(*known, need, data_centre_name(0), random, now));
           return (thread_cpu_us() - start) / repeats;
         })});
    load_report report = known->records().front().load.last_report();
    const double start = thread_cpu_us();
    for (int round = 1; round <= 5; ++round)
      for (std::size_t i = 0; i < count; ++i)
        known->apply_report(endpoint_name(i), report, now + time_ms{round * 500});
    applied.points.push_back({x * 5.0, thread_cpu_us() - start});
  }
  for (const series& s : {memory, choice, applied})
    table.add(s);
}

void queues(slope_table& table) {
  series memory{"queues", "queue_team_bytes", "B", "team", {}};
  series cpu{"queues", "queue_pass_us", "us", "100 teams", {}};
  constexpr int repeats = 20'000;
  for (const std::size_t teams : {100U, 400U, 830U}) {
    const auto x = static_cast<double>(teams);
    const double before = allocated_bytes();
    fair_queue queue;
    std::uint64_t ticket = 0;
    const auto add = [&] {
      ++ticket;
      return queue.enqueue(team_name(ticket % teams),
                           {ticket, work_class::standard, 900.0, now + time_ms{60'000}}, now);
    };
    for (std::size_t i = 0; i < teams; ++i)
      keep(add());
    memory.points.push_back({x, allocated_bytes() - before});
    const double start = thread_cpu_us();
    for (int i = 0; i < repeats; ++i) {
      keep(add());
      if (const auto grant = queue.dequeue(now))
        queue.settle(*grant, 700.0, now);
    }
    cpu.points.push_back({x / 100.0, (thread_cpu_us() - start) / repeats});
  }
  table.add(memory);
  table.add(cpu);
}

/// One pool's plan from the reports of so many hosts, 16 teams each out of 830.
void plans(slope_table& table) {
  series cpu{"shares", "share_plan_us", "us", "host reporting", {}};
  constexpr int repeats = 20;
  for (const std::size_t hosts : {9U, 50U, 150U, 350U}) {
    std::vector<share_report> reports;
    for (std::size_t i = 0; i < hosts; ++i)
      reports.push_back(demand_report(i, 0, 16));
    const double start = thread_cpu_us();
    for (int i = 0; i < repeats; ++i) {
      share_inputs inputs;
      inputs.pool_slots = 12'000;
      inputs.pool_rate = 140'000;
      inputs.own = reports.front();
      inputs.all = merge_reports(reports, share_policy{}.max_teams);
      keep(plan_shares(inputs, {}, share_policy{}));
    }
    cpu.points.push_back({static_cast<double>(hosts), (thread_cpu_us() - start) / repeats});
  }
  table.add(cpu);
}

void orders(slope_table& table) {
  series cpu{"decider", "order_plan_us", "us", "engine of the pool", {}};
  constexpr int repeats = 50;
  for (const std::size_t engines : {48U, 96U, 192U}) {
    std::vector<engine_view> views;
    for (std::size_t i = 0; i < engines; ++i) {
      engine_view view;
      view.endpoint = endpoint_name(i);
      view.data_centre = data_centre_name(i);
      view.held = {{model, ""}};
      views.push_back(view);
    }
    pool_goal goal;
    goal.items = {{{model, ""}, static_cast<std::uint32_t>(engines)}};
    goal.honours_fencing = true;
    order_planner planner;
    planner.set_epoch(7);
    const double start = thread_cpu_us();
    for (int i = 0; i < repeats; ++i)
      keep(planner.plan(goal, views, now + time_ms{1000 * i}));
    cpu.points.push_back({static_cast<double>(engines), (thread_cpu_us() - start) / repeats});
  }
  table.add(cpu);
}

} // namespace

void run_routing(slope_table& table) {
  messages(table);
  endpoints(table);
  queues(table);
  plans(table);
  orders(table);
}

} // namespace sedgechute::slopes
