#pragma once

#include "registration/registration.hpp"
#include "relay/relay.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Applies changes of the endpoint list to the directory. An entry that is older than what
/// is known of its endpoint is rejected, however late it was written. Not thread-safe.
class registered_endpoints {
 public:
  /// \param settle  an older entry is accepted when nothing newer follows for so long
  registered_endpoints(endpoint_directory& endpoints, time_ms settle, entry_faults& faults,
                       structured_log& log);

  /// \brief Applies changes in their order. A valid entry adds its endpoint, an invalid one removes
  /// it; a deleted entry has only lapsed.
  /// \param all  the changes contain every entry
  void apply(const endpoint_changes& changes, bool all, time_ms now);
  /// \brief Removes the endpoints whose entries have lapsed and not come back.
  void drop_lapsed();
  /// \brief Applies entries that were rejected and that a running endpoint must have written.
  /// \param followed_since  since when all changes have been read
  void adopt_settled(time_ms followed_since, time_ms now);
  /// \brief Reports entries whose service the configuration does not describe. They are kept, as a
  /// later configuration may describe it.
  /// \param config  in force; null before the first
  void check_services(const config_ptr& config);

 private:
  /// The last change of each endpoint that takes effect.
  using effective_changes = std::map<endpoint_id, const endpoint_change*>;

  /// Entries of an endpoint that were rejected.
  struct rejected_entries {
    entry_history history;
    endpoint_entry newest; ///< of them
  };

  [[nodiscard]] effective_changes select_effective(const endpoint_changes& changes, time_ms now);
  /// \returns whether the change takes effect
  [[nodiscard]] bool takes_effect(const endpoint_change& change, time_ms now);
  [[nodiscard]] entry_verdict classify_and_record(const endpoint_entry& entry, time_ms now);
  void reject(const endpoint_entry& entry, entry_verdict verdict, time_ms now);
  void apply(const endpoint_change& change);
  void lapse(const endpoint_id& id);
  void put(const endpoint_entry& entry);
  void remove(const endpoint_id& id);

  endpoint_directory& endpoints_;
  time_ms settle_;
  entry_faults& faults_;
  structured_log& log_;
  std::map<endpoint_id, std::string> services_; ///< of valid entries
  std::set<endpoint_id> lapsed_;                ///< deleted, perhaps only while the store was down
  entry_histories histories_;
  std::map<endpoint_id, rejected_entries> rejected_; ///< since the last entry that was applied
  std::uint64_t checked_by_{};                       ///< version of the configuration
  bool checked_{false}; ///< no entry has changed since `check_services`
};

} // namespace sedgechute
