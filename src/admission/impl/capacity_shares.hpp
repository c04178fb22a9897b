#pragma once

#include <span>
#include <vector>

namespace sedgechute {

/// \brief What the requests of one priority and team ask for.
struct flow_demand {
  int priority{0}; ///< smaller is higher
  double demand{}; ///< in the unit of the capacity
};

/// \brief Divides a capacity that may not cover all demands. A higher priority goes first, but each
/// priority gets at least a tenth of the capacity (less with more than ten priorities) if it asks
/// for that much. The teams of one priority get equal shares; what one does not use goes to others.
/// \returns the share of each flow, at most its demand
[[nodiscard]] std::vector<double> share_capacity(std::span<const flow_demand> flows,
                                                 double capacity);

} // namespace sedgechute
