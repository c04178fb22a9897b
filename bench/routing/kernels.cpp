#include "kernels.hpp"

#include "routing/routing.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace sedgechute::bench {

namespace {

constexpr std::uint32_t replicas = 2500;
constexpr std::uint32_t centres = 5;
constexpr std::uint32_t teams = 830;
const pool_id pool{"lm"};

std::string numbered(const char* prefix, std::uint64_t number) {
  return std::string{prefix}.append(std::to_string(number));
}

template <typename Work>
double ns_per_call(std::uint32_t calls, Work&& work) {
  const auto begin = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < calls; ++i)
    work(i);
  const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
  return took.count() / calls;
}

std::vector<std::uint64_t> prompt(std::uint64_t seed, std::size_t count) {
  std::vector<std::uint64_t> chain;
  std::uint64_t last = seed % 200; // a few shared beginnings
  for (std::size_t i = 0; i < count; ++i)
    chain.push_back(last = mix_hash(last, i < 2 ? i : seed + i));
  return chain;
}

endpoint_table large_table() {
  endpoint_table table;
  for (std::uint32_t i = 0; i < replicas; ++i) {
    const endpoint_id id{numbered("lm-", i)};
    table.add({id, pool, data_centre_id{numbered("dc-", i % centres)}});
    load_report report;
    report.max_running = 32;
    report.running = i % 30;
    report.prompt_tokens_per_s = 8000.0;
    report.models = {{model_id{"sedge-large"}, "3"}};
    table.apply_report(id, report, time_ms{0});
  }
  return table;
}

double time_choose(endpoint_table& table, std::size_t blocks) {
  constexpr std::uint32_t prompts = 512;
  random_source random{11};
  std::vector<std::vector<std::uint64_t>> chains;
  std::vector<route_need> needs(prompts);
  for (std::uint32_t i = 0; i < prompts; ++i)
    chains.push_back(prompt(random(), blocks));
  for (std::uint32_t i = 0; i < prompts; ++i) {
    needs[i].pool = pool;
    needs[i].model = {model_id{"sedge-large"}, ""};
    needs[i].prompt_tokens = static_cast<std::uint32_t>(blocks * 256);
    needs[i].blocks = chains[i];
    const auto choice = choose_endpoint(table, needs[i], data_centre_id{"dc-1"}, random, {});
    if (i % 2 == 0)
      (void)table.start(*choice, needs[i], time_ms{1});
  }
  std::uint64_t sink = 0;
  const double ns = ns_per_call(200'000, [&](std::uint32_t i) {
    sink += choose_endpoint(table, needs[i % prompts], data_centre_id{"dc-1"}, random, time_ms{2})
                ->slot;
  });
  return sink == 0 ? 0.0 : ns;
}

double time_start(endpoint_table& table) {
  random_source random{12};
  const auto chain = prompt(5, 4);
  route_need need;
  need.pool = pool;
  need.prompt_tokens = 1000;
  need.blocks = chain;
  const auto choice = choose_endpoint(table, need, data_centre_id{"dc-1"}, random, time_ms{2});
  return ns_per_call(200'000, [&](std::uint32_t i) {
    const time_ms now{10 + i / 100};
    route_attempt attempt = table.start(*choice, need, now);
    table.first_token(attempt, now);
    table.end(attempt, need, {attempt_outcome::completed, 100, 500U}, now);
  });
}

double time_queue() {
  fair_queue queue;
  std::vector<team_id> names;
  for (std::uint32_t i = 0; i < teams; ++i) {
    names.emplace_back(numbered("team-", i));
    team_limits limits;
    limits.weight = 1.0 + i % 7;
    limits.tokens_per_s = 1e12;
    limits.max_queued = 1000;
    queue.set_team(names.back(), limits, time_ms{0});
  }
  std::uint64_t ticket = 0;
  random_source random{13};
  const auto add = [&](time_ms now) {
    const auto kind = static_cast<work_class>(random.below(3));
    (void)queue.enqueue(names[random.below(teams)],
                        {++ticket, kind, 100.0 + static_cast<double>(random.below(900)),
                         now + time_ms{60'000 + static_cast<std::int64_t>(random.below(60'000))}},
                        now);
  };
  for (std::uint32_t i = 0; i < teams * 4; ++i)
    add(time_ms{0});
  return ns_per_call(400'000, [&](std::uint32_t i) {
    const time_ms now{1 + i / 400};
    add(now);
    const auto grant = queue.dequeue(now);
    if (grant)
      queue.settle(*grant, grant->cost * 1.1, now);
  });
}

double time_plan() {
  constexpr std::uint32_t hosts = 70;
  share_table table{pool, incarnation{host_id{"h-0"}, 1}};
  fair_queue queue;
  for (std::uint32_t h = 0; h < hosts; ++h) {
    share_report report;
    report.pool = pool;
    report.from = {host_id{numbered("h-", h)}, 1};
    report.sequence = 1;
    for (std::uint32_t t = 0; t < 64; ++t)
      report.teams.push_back({team_id{numbered("team-", (h * 11 + t) % teams)}, 100.0, 90.0});
    table.merge(report, time_ms{0});
  }
  return ns_per_call(200, [&](std::uint32_t) { table.apply_plan(queue, 1000.0, time_ms{1}); }) /
         1000.0;
}

} // namespace

kernel_times time_kernels() {
  kernel_times times;
  endpoint_table table = large_table();
  times.choose_short_ns = time_choose(table, 4);
  times.choose_long_ns = time_choose(table, 128);
  times.start_ns = time_start(table);
  times.queue_ns = time_queue();
  times.plan_us = time_plan();
  times.review_us =
      ns_per_call(200, [&](std::uint32_t i) { (void)table.review(time_ms{100 + i}); }) / 1000.0;
  times.table_bytes = table.prefixes().bytes() + replicas * sizeof(endpoint_table::record);
  return times;
}

} // namespace sedgechute::bench
