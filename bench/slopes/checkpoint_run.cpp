#include "daemon/impl/checkpoint_bytes.hpp"
#include "slopes/meter.hpp"
#include "slopes/names.hpp"
#include "slopes/runs.hpp"
#include "slopes/samples.hpp"

#include <memory>

namespace sedgechute::slopes {

namespace {

constexpr time_ms now{1'000'000};
// As in the daemon's state_cut.
constexpr std::size_t documents_per_part = 128;
constexpr std::size_t teams_per_part = 512;

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
  /// Parts as the daemon writes them; `take` gets each compressed one.
  template <typename Take>
  void write(Take&& take) {
    const auto document_cut = documents.open_cut();
    const auto ledger_cut = budgets.open_cut();
    wire::checkpoint part;
    part.set_offset(1'100'000);
    while (const auto rows = documents.next_part(document_cut, documents_per_part)) {
      *part.mutable_documents() = to_wire(*rows);
      take(part.SerializeAsString());
    }
    part.clear_documents();
    while (const auto rows = budgets.next_part(ledger_cut, teams_per_part)) {
      *part.mutable_ledger() = to_wire(*rows);
      take(part.SerializeAsString());
    }
    documents.close_cut(document_cut);
    budgets.close_cut(ledger_cut);
  }
  void read(const std::vector<std::string>& parts) {
    document_store filled;
    budgets.begin_restore();
    for (const std::string& bytes : parts) {
      wire::checkpoint part;
      part.ParseFromString(decompress(bytes));
      if (part.has_documents())
        filled.add_part(from_wire(part.documents()));
      if (part.has_ledger())
        budgets.restore_part(now, from_wire(part.ledger()));
    }
    budgets.finish_restore(now);
    documents.take_over(std::move(filled));
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
  series read_beyond{"checkpoint", "checkpoint_read_beyond_state_bytes", "B", "budget", {}};
  for (const std::size_t count : {10'000U, 50'000U, 110'000U, 220'000U}) {
    const auto x = static_cast<double>(count);
    auto writer = std::make_unique<replica>();
    writer->fill(count);
    reset_peak();
    const double before_write = resident_bytes();
    double start = thread_cpu_us();
    double bytes = 0.0;
    double packed = 0.0;
    writer->write([&](const std::string& part) {
      bytes += static_cast<double>(part.size());
      packed += static_cast<double>(compress(part).size());
    });
    writing.points.push_back({x, thread_cpu_us() - start});
    write_peak.points.push_back({x, peak_bytes() - before_write});
    whole.points.push_back({x, bytes});
    small.points.push_back({x, packed});
    std::vector<std::string> parts; // what the log or the other end has
    writer->write([&](const std::string& part) { parts.push_back(compress(part)); });
    writer.reset();
    reset_peak();
    const double before_read = resident_bytes();
    const double before_state = allocated_bytes();
    replica reader;
    start = thread_cpu_us();
    reader.read(parts);
    reading.points.push_back({x, thread_cpu_us() - start});
    const double state = allocated_bytes() - before_state;
    read_peak.points.push_back({x, peak_bytes() - before_read});
    read_beyond.points.push_back({x, peak_bytes() - before_read - state});
  }
  for (const series& s : {whole, small, writing, reading, write_peak, read_peak, read_beyond})
    table.add(s);
}

} // namespace sedgechute::slopes
