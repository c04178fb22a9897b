#include "telemetry/impl/burn_report.hpp"
#include "telemetry/impl/structured_log.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

// The page of the burn report: one HTML text with its style and its plots as SVG inside, without
// scripts, so that it can be mailed and opened anywhere.

namespace sedgechute {

namespace {

constexpr std::size_t most_plots = 24;
constexpr double plot_width = 560;
constexpr double plot_height = 150;
constexpr double left_margin = 44;
constexpr double right_margin = 8;
constexpr double top_margin = 10;
constexpr double bottom_margin = 24;
constexpr double least_rate = 0.1; ///< the vertical axis is logarithmic, from here
constexpr double most_rate = 1000;
constexpr double page_rate = 14.4;
constexpr double ticket_rate = 1.0;

constexpr std::string_view style = R"(<style>
body{font:14px/1.45 system-ui,sans-serif;margin:24px auto;max-width:1180px;padding:0 16px;color:#1c2330;background:#fff}
h1{font-size:22px;margin:0 0 4px}h2{font-size:16px;margin:28px 0 8px}p{margin:4px 0 12px;color:#4a5568}
table{border-collapse:collapse;width:100%}th,td{padding:4px 8px;text-align:right;border-bottom:1px solid #e3e8ef}
th{font-weight:600;color:#4a5568}th.n,td.n{text-align:left}td.c{font-variant-numeric:tabular-nums}
.l0{background:#f4f8f4}.l1{background:#fdf3d0}.l2{background:#fbd9a8}.l3{background:#f4a9a0}.l4{background:#d9534f;color:#fff}
.b{display:inline-block;padding:0 8px;border-radius:9px;font-size:12px}.page{background:#b3261e;color:#fff}.ticket{background:#f0a830}.none{background:#dbe7db}
.g{display:grid;grid-template-columns:repeat(auto-fill,minmax(540px,1fr));gap:16px}
figure{margin:0;border:1px solid #e3e8ef;border-radius:6px;padding:8px 10px}figcaption{font-weight:600;margin-bottom:4px}
svg{width:100%;height:auto;display:block}svg text{font:11px system-ui,sans-serif;fill:#4a5568}
</style>)";

std::string escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '"')
      out += "&quot;";
    else
      out += c;
  }
  return out;
}

/// 0: within the budget, 4: as fast as pages a human.
int level_of(double rate) noexcept {
  constexpr std::array bounds{ticket_rate, 3.0, 6.0, page_rate};
  return static_cast<int>(std::ranges::count_if(bounds, [&](double b) { return rate >= b; }));
}

std::string_view colour_of(int level) noexcept {
  constexpr std::array<std::string_view, 5> colours{"#8fb58f", "#e5c04b", "#f0a830", "#e4775f",
                                                    "#b3261e"};
  return colours[static_cast<std::size_t>(level)];
}

double height_of(double rate) noexcept {
  const double part = std::log(std::clamp(rate, least_rate, most_rate) / least_rate) /
                      std::log(most_rate / least_rate);
  return part * (plot_height - top_margin - bottom_margin);
}

double y_of(double rate) noexcept {
  return plot_height - bottom_margin - height_of(rate);
}

void grid_line(std::ostream& out, double rate, std::string_view label, bool alert) {
  out << "<line x1='" << left_margin << "' x2='" << plot_width - right_margin << "' y1='"
      << y_of(rate) << "' y2='" << y_of(rate) << "' stroke='" << (alert ? "#b3261e" : "#d5dbe5")
      << "'" << (alert ? " stroke-dasharray='4 3'" : "") << "/><text x='" << left_margin - 6
      << "' y='" << y_of(rate) + 4 << "' text-anchor='end'>" << label << "</text>";
}

void bars(std::ostream& out, const burn_row& row) {
  const double step = (plot_width - left_margin - right_margin) / burn_history_points;
  for (std::size_t i = 0; i < row.history.size(); ++i) {
    const double rate = burn_rate(row.history[i], row.objective);
    if (row.history[i].total == 0)
      continue;
    // Without a bad request a bar would have no height; a thin one shows that there was traffic.
    const double height = std::max(1.5, height_of(rate));
    out << "<rect x='" << left_margin + step * static_cast<double>(i) + 0.5 << "' y='"
        << plot_height - bottom_margin - height << "' width='" << step - 1 << "' height='" << height
        << "' fill='" << colour_of(level_of(rate)) << "'><title>" << rate << " ("
        << row.history[i].bad() << " of " << row.history[i].total << " bad)</title></rect>";
  }
}

void hours(std::ostream& out) {
  constexpr int span_h = 6;
  const double inner = plot_width - left_margin - right_margin;
  for (int hour = 0; hour <= span_h; hour += 2) {
    const double x = left_margin + inner * hour / span_h;
    const char* anchor = hour == span_h ? "end" : hour == 0 ? "start" : "middle";
    out << "<text x='" << x << "' y='" << plot_height - 8 << "' text-anchor='" << anchor << "'>";
    if (hour == span_h)
      out << "now</text>";
    else
      out << "-" << span_h - hour << " h</text>";
  }
}

void plot(std::ostream& out, const burn_row& row) {
  out << "<figure><figcaption>" << escaped(row.team) << " / " << escaped(row.class_name)
      << " <span class='b " << alert_of(row) << "'>" << alert_of(row)
      << "</span></figcaption><svg viewBox='0 0 " << plot_width << ' ' << plot_height
      << "' role='img' aria-label='burn rate of the last six hours'>";
  for (const auto& [rate, label] : {std::pair{0.1, "0.1"}, {10.0, "10"}, {100.0, "100"}})
    grid_line(out, rate, label, false);
  bars(out, row);
  grid_line(out, ticket_rate, "1", true);
  hours(out);
  out << "</svg></figure>\n";
}

void table_row(std::ostream& out, const burn_row& row) {
  out << "<tr><td class='n'>" << escaped(row.team) << "</td><td class='n'>"
      << escaped(row.class_name) << "</td><td class='c'>" << row.objective * 100
      << "%</td><td class='c'>" << row.all.total << "</td><td class='c'>" << row.all.bad()
      << "</td>";
  for (const auto& [window, name] : enum_names<burn_window>::entries) {
    const double rate = burn_rate(row, window);
    out << "<td class='c l" << level_of(rate) << "'>" << rate << "</td>";
  }
  out << "<td><span class='b " << alert_of(row) << "'>" << alert_of(row) << "</span></td></tr>\n";
}

void table(std::ostream& out, const std::vector<burn_row>& rows) {
  out << "<table><thead><tr><th class='n'>team</th><th class='n'>class</th><th>objective</th>"
         "<th>requests</th><th>bad</th>";
  for (const auto& [window, name] : enum_names<burn_window>::entries)
    out << "<th>" << name << "</th>";
  out << "<th>alert</th></tr></thead><tbody>\n";
  for (const burn_row& row : rows)
    table_row(out, row);
  out << "</tbody></table>\n";
}

std::size_t count_of(const std::vector<burn_row>& rows, burn_alert alert) {
  return static_cast<std::size_t>(std::ranges::count(rows, alert, alert_of));
}

} // namespace

std::string burn_html(std::vector<burn_row> rows, time_ms as_of) {
  sort_by_burn(rows);
  std::ostringstream out;
  out << std::setprecision(3);
  out << "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>Error budget burn"
         "</title>"
      << style << "</head><body>\n<h1>Error budget burn</h1><p>" << utc_text(as_of) << " &middot; "
      << count_of(rows, burn_alert::page) << " to page, " << count_of(rows, burn_alert::ticket)
      << " to ticket, " << rows.size()
      << " classes of teams. A burn rate of 1 uses the error "
         "budget up exactly in its period. Pages: 14.4 over 1h and 5m, or 6 over 6h and 30m; "
         "tickets: 3 over 1d and 2h, or 1 over 3d and 6h; each with at least "
      << least_bad_for_alert << " bad requests.</p>\n";
  table(out, rows);
  if (rows.empty())
    out << "<p>No requests were counted yet.</p>";
  out << "<h2>Burn rate over the last six hours, worst first</h2><div class='g'>\n";
  for (std::size_t i = 0; i < std::min(rows.size(), most_plots); ++i)
    plot(out, rows[i]);
  out << "</div></body></html>\n";
  return out.str();
}

} // namespace sedgechute
