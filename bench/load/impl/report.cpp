#include "load/impl/report.hpp"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace sedgechute::load {

namespace {

double ms(const latency_histogram& of, double part) {
  return static_cast<double>(of.quantile(part)) / 1000.0;
}

/// One JSON object, member by member.
class json_line {
 public:
  template <typename T>
  void add(const std::string& name, const T& value) {
    text_ << (first_ ? "{\"" : ",\"") << name << "\":" << value;
    first_ = false;
  }
  void finish(std::ostream& out) const { out << text_.str() << "}" << std::endl; }

 private:
  std::ostringstream text_;
  bool first_{true};
};

/// A figure nobody told is unknown, not 0.
std::string known(std::uint64_t sources, std::int64_t figure) {
  return sources == 0 ? "null" : std::to_string(figure);
}

void add_latencies(json_line& line, const std::string& prefix, const tally_row& row) {
  line.add(prefix + "ttft_ms_p50", ms(row.first_us, 0.5));
  line.add(prefix + "ttft_ms_p99", ms(row.first_us, 0.99));
  line.add(prefix + "gap_ms_p50", ms(row.gaps_us, 0.5));
  line.add(prefix + "gap_ms_p99", ms(row.gaps_us, 0.99));
  line.add(prefix + "gap_ms_mean", row.gaps_us.mean() / 1000.0);
}

} // namespace

int report(const measured& result, const broken_invariants& broken, std::ostream& out) {
  const tally_row hosts = result.hosts.total();
  const tally_row engines = result.engines.total();
  if (hosts.requests > 0)
    result.hosts.print(out);
  if (engines.requests > 0) {
    out << "direct to the engines:\n";
    result.engines.print(out);
  }
  const tally_row& main_row = hosts.requests > 0 ? hosts : engines;
  json_line line;
  line.add("requests", main_row.requests);
  line.add("answered", main_row.answered);
  line.add("refused", main_row.refused);
  line.add("unresolved", main_row.unresolved);
  line.add("overspend_tokens", known(broken.budgets_read, broken.overspend_tokens));
  line.add("double_billed", known(broken.budgets_read, broken.double_billed));
  line.add("unbilled_tokens", known(broken.budgets_read, broken.unbilled_tokens));
  line.add("ran_twice", broken.ran_twice);
  line.add("ran_though_refused", broken.ran_though_refused);
  line.add("mixed_answers", main_row.mixed);
  line.add("disordered_answers", main_row.disordered);
  line.add("cut_answers", main_row.cut);
  line.add("tries", main_row.tries);
  line.add("tokens", main_row.tokens);
  line.add("budgets_read", broken.budgets_read);
  add_latencies(line, "", main_row);
  if (hosts.requests > 0 && engines.requests > 0) {
    add_latencies(line, "direct_", engines);
    line.add("added_ttft_ms_p50", ms(hosts.first_us, 0.5) - ms(engines.first_us, 0.5));
    line.add("added_ttft_ms_p99", ms(hosts.first_us, 0.99) - ms(engines.first_us, 0.99));
    line.add("added_gap_ms_mean", (hosts.gaps_us.mean() - engines.gaps_us.mean()) / 1000.0);
    line.add("added_gap_ms_p50", ms(hosts.gaps_us, 0.5) - ms(engines.gaps_us, 0.5));
    line.add("added_gap_ms_p99", ms(hosts.gaps_us, 0.99) - ms(engines.gaps_us, 0.99));
  }
  if (result.resident_mb > 0) {
    line.add("resident_mb", result.resident_mb);
    line.add("cpu_s", result.cpu_s);
    line.add("cpu_us_per_request",
             1e6 * result.cpu_s /
                 static_cast<double>(std::max<std::uint64_t>(1, main_row.requests)));
    line.add("cpu_us_per_token",
             1e6 * result.cpu_s / static_cast<double>(std::max<std::int64_t>(1, main_row.tokens)));
  }
  line.add("most_late_ms", static_cast<double>(std::max(result.hosts.most_late_us(),
                                                        result.engines.most_late_us())) /
                               1000.0);
  line.add("seconds", result.seconds);
  line.finish(out);
  const bool whole = main_row.mixed == 0 && main_row.disordered == 0 && main_row.unresolved == 0;
  return whole && !broken.any() ? 0 : 1;
}

} // namespace sedgechute::load
