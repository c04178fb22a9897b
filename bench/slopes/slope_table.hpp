#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace sedgechute::slopes {

/// \brief One size and what was measured there.
struct point {
  double x{};
  double y{};
};

/// \brief A straight line through points.
struct line {
  double slope{};
  double intercept{};
  double residual{}; ///< largest distance from the line, as a share of the largest value
};

/// \brief Least squares. With one point, the line through the origin.
[[nodiscard]] line fit(const std::vector<point>& points);

/// \brief A quantity against its driver.
struct series {
  std::string role;   ///< which part of a host
  std::string name;   ///< key in the result
  std::string unit;   ///< of the quantity
  std::string driver; ///< what x counts
  std::vector<point> points;
};

class slope_table {
 public:
  void add(series measured) { all_.push_back(std::move(measured)); }

  void print(std::ostream& out) const;
  /// \returns one line
  [[nodiscard]] std::string to_json() const;

 private:
  std::vector<series> all_;
};

} // namespace sedgechute::slopes
