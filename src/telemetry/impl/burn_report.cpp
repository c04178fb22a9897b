#include "telemetry/impl/burn_report.hpp"

#include "telemetry/impl/json_text.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace sedgechute {

namespace {

constexpr double least_error_budget = 1e-6; ///< an objective of 1 leaves none; avoids 1/0
constexpr int name_width = 24;
constexpr int cell_width = 10;

bool same_subject(const burn_row& a, const burn_row& b) {
  return a.team == b.team && a.class_name == b.class_name;
}

void add_counts(burn_row& into, const burn_row& other) {
  into.all += other.all;
  for (std::size_t i = 0; i < burn_windows; ++i)
    into.windows[i] += other.windows[i];
  for (std::size_t i = 0; i < burn_history_points; ++i)
    into.history[i] += other.history[i];
}

bool burns(const burn_row& row, const burn_rule& rule) noexcept {
  return row.windows[static_cast<std::size_t>(rule.longer)].bad() >= least_bad_for_alert &&
         burn_rate(row, rule.longer) >= rule.rate && burn_rate(row, rule.shorter) >= rule.rate;
}

void append_row(std::ostream& out, const burn_row& row) {
  std::string team;
  std::string class_name;
  append_json_string(team, row.team);
  append_json_string(class_name, row.class_name);
  out << "{\"team\":" << team << ",\"class\":" << class_name << ",\"objective\":" << row.objective
      << ",\"total\":" << row.all.total << ",\"bad\":" << row.all.bad() << ",\"windows\":[";
  for (const auto& [window, name] : enum_names<burn_window>::entries)
    out << (window == burn_window::m5 ? "" : ",") << "{\"name\":\"" << name
        << "\",\"seconds\":" << span_of(window).count() / 1000
        << ",\"burn_rate\":" << burn_rate(row, window) << "}";
  out << "],\"alert\":\"" << alert_of(row) << "\"}";
}

} // namespace

void burn_tracker::record(const std::string& team, const std::string& class_name, double objective,
                          bool good, time_ms now) {
  const std::scoped_lock lock{mutex_};
  const subject key{team, class_name};
  auto found = tracked_.find(key);
  if (found == tracked_.end()) {
    if (tracked_.size() >= most_rows_)
      return;
    found = tracked_.emplace(key, tracked{objective, {}}).first;
  }
  found->second.objective = objective;
  found->second.series.record(now, {good ? 1U : 0U, 1});
}

std::vector<burn_row> burn_tracker::rows(time_ms now) const {
  std::vector<burn_row> rows;
  const std::scoped_lock lock{mutex_};
  for (const auto& [key, kept] : tracked_) {
    burn_row row;
    row.team = key.team;
    row.class_name = key.class_name;
    row.objective = kept.objective;
    row.all = kept.series.all();
    for (const auto& [window, name] : enum_names<burn_window>::entries)
      row.windows[static_cast<std::size_t>(window)] = kept.series.over(window, now);
    row.history = kept.series.history(now);
    rows.push_back(std::move(row));
  }
  return rows;
}

void merge(std::vector<burn_row>& into, const std::vector<burn_row>& other) {
  for (const burn_row& row : other) {
    const auto found =
        std::ranges::find_if(into, [&](const burn_row& one) { return same_subject(one, row); });
    if (found == into.end())
      into.push_back(row);
    else
      add_counts(*found, row);
  }
}

double burn_rate(const good_total& counts, double objective) noexcept {
  if (counts.total == 0)
    return 0;
  const double bad = static_cast<double>(counts.bad()) / static_cast<double>(counts.total);
  return bad / std::max(1.0 - objective, least_error_budget);
}

double burn_rate(const burn_row& row, burn_window window) noexcept {
  return burn_rate(row.windows[static_cast<std::size_t>(window)], row.objective);
}

burn_alert alert_of(const burn_row& row) noexcept {
  for (const burn_rule& rule : burn_rules) // the most urgent ones come first
    if (burns(row, rule))
      return rule.alert;
  return burn_alert::none;
}

void sort_by_burn(std::vector<burn_row>& rows) {
  std::ranges::stable_sort(rows, [](const burn_row& a, const burn_row& b) {
    if (const auto left = alert_of(a), right = alert_of(b); left != right)
      return left > right;
    return burn_rate(a, burn_window::h1) > burn_rate(b, burn_window::h1);
  });
}

std::string burn_json(const std::vector<burn_row>& rows, time_ms as_of) {
  std::ostringstream out;
  out << "{\"as_of_ms\":" << as_of.count() << ",\"rows\":[";
  for (const burn_row& row : rows) {
    out << (&row == rows.data() ? "" : ",");
    append_row(out, row);
  }
  out << "]}";
  return out.str();
}

std::string burn_table(std::vector<burn_row> rows) {
  sort_by_burn(rows);
  std::ostringstream out;
  out << std::left << std::setw(name_width) << "team" << std::setw(name_width) << "class"
      << std::right << std::setw(cell_width) << "objective" << std::setw(cell_width) << "total"
      << std::setw(cell_width) << "bad";
  for (const auto& [window, name] : enum_names<burn_window>::entries)
    out << std::setw(cell_width) << name;
  out << "  alert\n" << std::fixed;
  for (const burn_row& row : rows) {
    out << std::left << std::setw(name_width) << row.team << std::setw(name_width) << row.class_name
        << std::right << std::setprecision(4) << std::setw(cell_width) << row.objective
        << std::setw(cell_width) << row.all.total << std::setw(cell_width) << row.all.bad()
        << std::setprecision(2);
    for (const auto& [window, name] : enum_names<burn_window>::entries)
      out << std::setw(cell_width) << burn_rate(row, window);
    out << "  " << alert_of(row) << '\n';
  }
  return out.str();
}

} // namespace sedgechute
