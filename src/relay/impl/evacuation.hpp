#pragma once

#include "kernel/kernel.hpp"

#include <set>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief The operator orders the evacuation of a data centre, or withdraws the order. No request
/// is sent to the endpoints of an evacuated data centre; those that run there are completed.
struct evacuation_change {
  data_centre_id data_centre;
  bool evacuated{};
  std::string fault{}; ///< why the text of the order cannot be parsed; the order holds all the same
};

using evacuated_centres = std::set<data_centre_id>;

/// \returns the evacuated data centres after `changes`, which are in the order of the log
/// \param all  the changes name every order in force
[[nodiscard]] evacuated_centres apply_changes(const evacuated_centres& before,
                                              const std::vector<evacuation_change>& changes,
                                              bool all);

} // namespace sedgechute
