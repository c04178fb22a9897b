#pragma once

#include "relay/relay.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Applies changes of the endpoint list to the directory. Not thread-safe.
class registered_endpoints {
 public:
  registered_endpoints(endpoint_directory& endpoints, entry_faults& faults, structured_log& log);

  /// \brief Applies changes in their order. A valid entry adds its endpoint, an invalid one removes
  /// it; a deleted entry has only lapsed.
  /// \param all  the changes contain every entry
  void apply(const endpoint_changes& changes, bool all);
  /// \brief Removes the endpoints whose entries have lapsed and not come back.
  void drop_lapsed();
  /// \brief Reports entries whose service the configuration does not describe. They are kept, as a
  /// later configuration may describe it.
  /// \param config  in force; null before the first
  void check_services(const config_ptr& config);

 private:
  void remove(const endpoint_id& id);

  endpoint_directory& endpoints_;
  entry_faults& faults_;
  structured_log& log_;
  std::map<endpoint_id, std::string> services_; ///< of valid entries
  std::set<endpoint_id> lapsed_;                ///< deleted, perhaps only while the store was down
  std::uint64_t checked_by_{};                  ///< version of the configuration
  bool checked_{false};                         ///< no entry has changed since `check_services`
};

} // namespace sedgechute
