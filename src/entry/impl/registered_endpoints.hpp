#pragma once

#include "relay/relay.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Follows the list of endpoints: which of its entries name an endpoint to use. Not
/// thread-safe.
class registered_endpoints {
 public:
  registered_endpoints(endpoint_directory& endpoints, entry_faults& faults, structured_log& log);

  /// \brief Takes changes in their order. An entry that cannot be read ends the use of its
  /// endpoint, a good one begins it; one that is gone only lapses.
  /// \param all  the changes name every entry that there is
  void apply(const endpoint_changes& changes, bool all);
  /// \brief Ends the use of the endpoints whose entries lapsed and have not come back.
  void drop_lapsed();
  /// \brief Reports the entries whose service no route can name. They are kept: a configuration
  /// that describes the service may come after them.
  /// \param config  in force; null before the first
  void judge_services(const config_ptr& config);

 private:
  void take_out(const endpoint_id& id);

  endpoint_directory& endpoints_;
  entry_faults& faults_;
  structured_log& log_;
  std::map<endpoint_id, std::string> services_; ///< of entries that can be read
  std::set<endpoint_id> lapsed_; ///< gone from the list, perhaps only while the store was away
  std::uint64_t judged_by_{};    ///< version of the configuration
  bool judged_{false};           ///< none has changed since `judge_services`
};

} // namespace sedgechute
