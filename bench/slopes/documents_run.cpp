#include "config/config.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

namespace sedgechute::slopes {

namespace {

std::int64_t nothing_committed(const team_id&) {
  return 0;
}

} // namespace

void run_documents(slope_table& table) {
  series memory{"settings", "contract_state_bytes", "B", "contract", {}};
  series cpu{"settings", "contract_apply_us", "us", "contract", {}};
  series bytes{"settings", "contract_record_bytes", "B", "contract", {}};
  for (const std::size_t count : {10'000U, 50'000U, 110'000U, 220'000U}) {
    const double before = allocated_bytes();
    document_store store;
    store.apply(1, document_of(fleet_record()), nothing_committed);
    double spent = 0.0;
    double stored = 0.0;
    for (std::size_t i = 0; i < count; ++i) {
      const std::string record = contract_record(i, i + 1);
      stored += static_cast<double>(record.size());
      const double start = thread_cpu_us();
      store.apply(i + 2, document_of(record), nothing_committed);
      spent += thread_cpu_us() - start;
    }
    const auto x = static_cast<double>(store.contracts().size());
    memory.points.push_back({x, allocated_bytes() - before});
    cpu.points.push_back({x, spent});
    bytes.points.push_back({x, stored});
  }
  table.add(memory);
  table.add(cpu);
  table.add(bytes);
}

} // namespace sedgechute::slopes
