#include "daemon/impl/checkpoint_bytes.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <memory>

namespace sedgechute::slopes {

namespace {

constexpr time_ms now{1'000'000};

/// What a host replays, as far as it grows with the number of budgets.
struct replica {
  document_store documents;
  ledger::budget_host budgets{host_name(0), data_centre_name(0), {}, 1};

  void fill(std::size_t count) {
    documents.apply(1, document_of(fleet_record()), [](const team_id&) { return std::int64_t{0}; });
    for (std::size_t i = 0; i < count; ++i) {
      documents.apply(i + 2, document_of(contract_record(i, i + 1)),
                      [](const team_id&) { return std::int64_t{0}; });
      budgets.on_contract(now, i + 2, team_name(i), 50'000'000);
    }
    for (std::size_t i = 0; i < 4150 && i < count; ++i)
      budgets.on_record(now, 1'000'000 + i,
                        ledger_of(grant_record(i, host_name(i % 300 + 1), host_name(i % 299 + 2))));
  }
  [[nodiscard]] std::string snapshot() const {
    wire::checkpoint whole;
    whole.set_offset(1'100'000);
    *whole.mutable_documents() = to_wire(documents.snapshot());
    *whole.mutable_ledger() = to_wire(budgets.snapshot());
    return whole.SerializeAsString();
  }
  void restore(const std::string& bytes) {
    wire::checkpoint whole;
    whole.ParseFromString(bytes);
    documents.restore(from_wire(whole.documents()));
    budgets.restore(now, from_wire(whole.ledger()));
  }
};

} // namespace

void run_checkpoint(slope_table& table) {
  series whole{"checkpoint", "checkpoint_bytes", "B", "budget", {}};
  series small{"checkpoint", "checkpoint_compressed_bytes", "B", "budget", {}};
  series writing{"checkpoint", "checkpoint_write_us", "us", "budget", {}};
  series reading{"checkpoint", "checkpoint_read_us", "us", "budget", {}};
  series write_peak{"checkpoint", "checkpoint_write_peak_bytes", "B", "budget", {}};
  series read_peak{"checkpoint", "checkpoint_read_peak_bytes", "B", "budget", {}};
  for (const std::size_t count : {10'000U, 50'000U, 110'000U, 220'000U}) {
    const auto x = static_cast<double>(count);
    auto writer = std::make_unique<replica>();
    writer->fill(count);
    reset_peak();
    const double before_write = resident_bytes();
    double start = thread_cpu_us();
    std::string bytes = writer->snapshot();
    std::string packed = compress(bytes);
    writing.points.push_back({x, thread_cpu_us() - start});
    write_peak.points.push_back({x, peak_bytes() - before_write});
    whole.points.push_back({x, static_cast<double>(bytes.size())});
    small.points.push_back({x, static_cast<double>(packed.size())});
    bytes = {};
    writer.reset();
    reset_peak();
    const double before_read = resident_bytes();
    replica reader;
    start = thread_cpu_us();
    reader.restore(decompress(packed));
    reading.points.push_back({x, thread_cpu_us() - start});
    read_peak.points.push_back({x, peak_bytes() - before_read});
  }
  for (const series& s : {whole, small, writing, reading, write_peak, read_peak})
    table.add(s);
}

} // namespace sedgechute::slopes
