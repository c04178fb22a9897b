#pragma once

#include "config/config.hpp"

#include <string>
#include <vector>

namespace sedgechute::bench {

/// \brief A running fleet to publish to.
struct fleet_options {
  std::vector<address> hosts;   ///< admin addresses; changes are published through them in turn
  std::vector<address> cut_off; ///< admin addresses of hosts that can't reach the log
  std::string key;
  std::string team; ///< whose contract is changed
  std::size_t changes{200};
};

/// \brief Time from the publish until a change was in force.
struct fleet_result {
  std::vector<double> everywhere_ms; ///< on the last of `hosts`, one sample a change
  std::vector<double> cut_off_ms;    ///< on the last of `cut_off`
  std::size_t failed{0};             ///< changes not in force everywhere within the wait
};

/// \brief Publishes changes one after the other and looks at every host until each is in force.
[[nodiscard]] fleet_result run_fleet(const fleet_options& wanted);

} // namespace sedgechute::bench
