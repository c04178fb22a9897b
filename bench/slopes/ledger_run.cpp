#include "ledger/ledger.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"
#include "wire/wire.hpp"

#include <memory>

namespace sedgechute::slopes {

namespace {

using ledger::budget_host;

constexpr token_amount bought = 50'000'000;
constexpr time_ms now{1'000'000};
constexpr int repeats = 7;

std::unique_ptr<budget_host> host_with(std::size_t budgets) {
  auto host =
      std::make_unique<budget_host>(host_name(0), data_centre_name(0), ledger::ledger_options{}, 1);
  for (std::size_t i = 0; i < budgets; ++i)
    host->on_contract(now, i + 1, team_name(i), bought);
  keep(host->take_output());
  return host;
}

/// Idle budgets: nothing is delegated, only the contract is known.
void idle_budgets(slope_table& table) {
  series memory{"replica", "budget_state_bytes", "B", "budget", {}};
  series replay{"replica", "contract_replay_us", "us", "budget", {}};
  for (const std::size_t count : {10'000U, 50'000U, 110'000U, 220'000U}) {
    const auto x = static_cast<double>(count);
    double bytes = 0.0;
    replay.points.push_back({x, least_of(repeats, [&] {
                               const double before = allocated_bytes();
                               const double start = thread_cpu_us();
                               const auto host = host_with(count);
                               const double spent = thread_cpu_us() - start;
                               bytes = allocated_bytes() - before;
                               return spent;
                             })});
    memory.points.push_back({x, bytes});
  }
  table.add(memory);
  table.add(replay);
}

struct part_of_epochs {
  std::string name;
  std::size_t holder;
  std::size_t witness;
};

/// Epochs held elsewhere, witnessed here and held here; the host under measure is number 0.
void live_epochs(slope_table& table, const part_of_epochs& part) {
  series memory{part.name, part.name + "_epoch_bytes", "B", "live epoch", {}};
  series cpu{part.name, part.name + "_grant_us", "us", "grant replayed", {}};
  for (const std::size_t count : {1000U, 2000U, 4000U, 8000U}) {
    std::vector<std::string> stored;
    for (std::size_t i = 0; i < count; ++i)
      stored.push_back(grant_record(i, host_name(part.holder), host_name(part.witness)));
    double bytes = 0.0;
    const double spent = least_of(repeats, [&] {
      const auto host = host_with(8000);
      const double before = allocated_bytes();
      const double start = thread_cpu_us();
      for (std::size_t i = 0; i < count; ++i)
        host->on_record(now, 100'000 + i, ledger_of(stored[i]));
      const double used = thread_cpu_us() - start;
      keep(host->take_output());
      bytes = allocated_bytes() - before;
      return used;
    });
    memory.points.push_back({static_cast<double>(count), bytes});
    cpu.points.push_back({static_cast<double>(count), spent});
  }
  table.add(memory);
  table.add(cpu);
}

/// Reports of other hosts are replayed by everyone; rows are what they grow by.
void reports(slope_table& table) {
  series bytes{"replica", "report_bytes", "B", "row of a report", {}};
  series cpu{"replica", "report_replay_us", "us", "row of a report", {}};
  constexpr std::size_t records = 200;
  for (const std::size_t rows : {1U, 4U, 16U, 64U}) {
    std::vector<std::string> stored;
    for (std::size_t i = 0; i < records; ++i)
      stored.push_back(report_record(100'000, rows, i + 1));
    const double spent = least_of(repeats, [&] {
      const auto host = host_with(8000);
      for (std::size_t i = 0; i < rows; ++i)
        host->on_record(now, 100'000 + i, ledger_of(grant_record(i, host_name(1), host_name(2))));
      const double start = thread_cpu_us();
      for (std::size_t i = 0; i < records; ++i)
        host->on_record(now, 200'000 + i, ledger_of(stored[i]));
      const double used = (thread_cpu_us() - start) / static_cast<double>(records);
      keep(host->take_output());
      return used;
    });
    bytes.points.push_back({static_cast<double>(rows), static_cast<double>(stored[100].size())});
    cpu.points.push_back({static_cast<double>(rows), spent});
  }
  table.add(bytes);
  table.add(cpu);
}

/// What a host does at each tick of 50 ms with budgets that nobody uses.
void idle_ticks(slope_table& table) {
  series cpu{"replica", "budget_tick_us", "us", "1000 idle budgets", {}};
  constexpr int ticks = 200;
  for (const std::size_t count : {10'000U, 50'000U, 110'000U, 220'000U}) {
    const auto host = host_with(count);
    const double spent = least_of(repeats, [&] {
      const double start = thread_cpu_us();
      for (int i = 0; i < ticks; ++i)
        host->tick(now + time_ms{50 * i});
      return (thread_cpu_us() - start) / ticks;
    });
    cpu.points.push_back({static_cast<double>(count) / 1000.0, spent});
  }
  table.add(cpu);
}

} // namespace

void run_ledger(slope_table& table) {
  idle_budgets(table);
  idle_ticks(table);
  live_epochs(table, {"replica", 1, 2});
  live_epochs(table, {"witness", 1, 0});
  live_epochs(table, {"holder", 0, 1});
  reports(table);
}

} // namespace sedgechute::slopes
