#include "slopes/slope_table.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace sedgechute::slopes {

namespace {

double largest(const std::vector<point>& points) {
  double most = 0.0;
  for (const point& p : points)
    most = std::max(most, std::abs(p.y));
  return most;
}

} // namespace

line fit(const std::vector<point>& points) {
  line result;
  if (points.size() < 2) {
    result.slope =
        points.empty() || points.front().x == 0.0 ? 0.0 : points.front().y / points.front().x;
    return result;
  }
  const auto count = static_cast<double>(points.size());
  double x = 0.0;
  double y = 0.0;
  for (const point& p : points) {
    x += p.x / count;
    y += p.y / count;
  }
  double xx = 0.0;
  double xy = 0.0;
  for (const point& p : points) {
    xx += (p.x - x) * (p.x - x);
    xy += (p.x - x) * (p.y - y);
  }
  result.slope = xx == 0.0 ? 0.0 : xy / xx;
  result.intercept = y - result.slope * x;
  const double scale = largest(points);
  for (const point& p : points) {
    const double distance = std::abs(p.y - result.intercept - result.slope * p.x);
    result.residual = std::max(result.residual, scale == 0.0 ? 0.0 : distance / scale);
  }
  return result;
}

void slope_table::print(std::ostream& out) const {
  out << absl::StrFormat("%-12s %-34s %12s %14s %9s  %s\n", "role", "quantity", "slope", "at zero",
                         "residual", "unit, sizes");
  for (const series& s : all_) {
    const line l = fit(s.points);
    out << absl::StrFormat("%-12s %-34s %12.4g %14.5g %8.1f%%  %s per %s at", s.role, s.name,
                           l.slope, l.intercept, l.residual * 100.0, s.unit, s.driver);
    for (const point& p : s.points)
      out << absl::StrFormat(" %g:%.4g", p.x, p.y);
    out << '\n';
  }
}

std::string slope_table::to_json() const {
  std::string text = "{\"slopes\":[";
  for (const series& s : all_) {
    const line l = fit(s.points);
    if (&s != &all_.front())
      text += ',';
    absl::StrAppendFormat(&text,
                          "{\"role\":\"%s\",\"name\":\"%s\",\"unit\":\"%s\",\"driver\":\"%s\","
                          "\"slope\":%.6g,\"intercept\":%.6g,\"residual\":%.4f,\"points\":[",
                          s.role, s.name, s.unit, s.driver, l.slope, l.intercept, l.residual);
    for (std::size_t i = 0; i < s.points.size(); ++i)
      absl::StrAppendFormat(&text, "%s[%g,%.6g]", i == 0 ? "" : ",", s.points[i].x, s.points[i].y);
    text += "]}";
  }
  return text + "]}";
}

} // namespace sedgechute::slopes
