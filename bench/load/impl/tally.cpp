#include "load/impl/tally.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <ostream>

namespace sedgechute::load {

namespace {

constexpr double us_a_ms = 1000.0;
constexpr int name_width = 20;
constexpr int count_width = 11;
constexpr int latency_width = 11;

double ms(const latency_histogram& of, double part) {
  return static_cast<double>(of.quantile(part)) / us_a_ms;
}

void print_cells(std::ostream& out, std::initializer_list<double> cells) {
  for (const double cell : cells)
    out << std::setw(latency_width) << cell;
}

void print_row(std::ostream& out, const std::string& class_name, const std::string& team,
               const tally_row& row) {
  out << std::left << std::setw(name_width) << class_name << std::setw(name_width) << team
      << std::right << std::fixed << std::setprecision(2);
  for (const std::uint64_t count : {row.requests, row.answered, row.refused, row.unresolved,
                                    static_cast<std::uint64_t>(row.tokens)})
    out << std::setw(count_width) << count;
  print_cells(out, {ms(row.first_us, 0.5), ms(row.first_us, 0.99), ms(row.gaps_us, 0.5),
                    ms(row.gaps_us, 0.99), ms(row.total_us, 0.5), ms(row.total_us, 0.99)});
  out << '\n';
}

void print_head(std::ostream& out) {
  out << std::left << std::setw(name_width) << "class" << std::setw(name_width) << "team"
      << std::right;
  for (const char* name : {"requests", "answered", "refused", "unresolved", "tokens"})
    out << std::setw(count_width) << name;
  for (const char* name :
       {"ttft p50", "ttft p99", "gap p50", "gap p99", "answer p50", "answer p99"})
    out << std::setw(latency_width) << name;
  out << "  (ms)\n";
}

} // namespace

void tally_row::count(const call_outcome& outcome, bool timed) {
  ++requests;
  tries += outcome.tries;
  answered += outcome.end == call_end::answered ? 1 : 0;
  refused += outcome.end == call_end::refused ? 1 : 0;
  unresolved += outcome.end == call_end::unresolved ? 1 : 0;
  mixed += outcome.mixed ? 1 : 0;
  disordered += outcome.disordered ? 1 : 0;
  cut += outcome.cut ? 1 : 0;
  tokens += outcome.tokens;
  billed += outcome.billed;
  used += outcome.used;
  if (outcome.end != call_end::answered || !timed)
    return;
  if (outcome.first_us > 0)
    first_us.record(static_cast<std::uint64_t>(outcome.first_us));
  total_us.record(static_cast<std::uint64_t>(outcome.total_us));
  gaps_us.merge(outcome.gaps_us);
}

void tally_row::merge(const tally_row& other) {
  requests += other.requests;
  answered += other.answered;
  refused += other.refused;
  unresolved += other.unresolved;
  mixed += other.mixed;
  disordered += other.disordered;
  cut += other.cut;
  tries += other.tries;
  tokens += other.tokens;
  billed += other.billed;
  used += other.used;
  first_us.merge(other.first_us);
  total_us.merge(other.total_us);
  gaps_us.merge(other.gaps_us);
}

void tally::count(const load_call& call, const call_outcome& outcome, bool timed) {
  const std::scoped_lock lock{mutex_};
  rows_[{call.class_name, call.team}].count(outcome, timed);
  if (outcome.end != call_end::answered)
    ++errors_[outcome.error];
  if (timed)
    most_late_us_ = std::max(most_late_us_, outcome.late_us);
}

tally_row tally::total() const {
  const std::scoped_lock lock{mutex_};
  tally_row all;
  for (const auto& [key, row] : rows_)
    all.merge(row);
  return all;
}

std::map<std::string, std::uint64_t> tally::errors() const {
  const std::scoped_lock lock{mutex_};
  return errors_;
}

std::int64_t tally::most_late_us() const {
  const std::scoped_lock lock{mutex_};
  return most_late_us_;
}

void tally::print(std::ostream& out) const {
  print_head(out);
  {
    const std::scoped_lock lock{mutex_};
    for (const auto& [key, row] : rows_)
      print_row(out, key.class_name, key.team, row);
  }
  print_row(out, "all", "", total());
  for (const auto& [kind, count] : errors())
    out << "  " << count << " x " << kind << '\n';
}

} // namespace sedgechute::load
