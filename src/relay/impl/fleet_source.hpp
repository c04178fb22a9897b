#pragma once

#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/evacuation.hpp"
#include "relay/impl/fleet_config.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief A change of one entry of the endpoint list.
struct endpoint_change {
  endpoint_id id;
  std::optional<endpoint_entry> entry; ///< nothing: it was removed or cannot be parsed
  std::string fault{};                 ///< why it cannot be parsed; empty when it was removed
};

/// \brief Changes of the endpoint list in log order.
struct endpoint_changes {
  std::vector<endpoint_change> changes;
  std::uint64_t end{};      ///< position to read from next
  bool history_lost{false}; ///< changes are missing: all entries must be read again
};

/// \brief Changes that the operator published.
struct config_changes {
  std::vector<config_ptr> versions;
  std::vector<entry_fault> faults; ///< versions that cannot be parsed
  std::uint64_t end{};
  bool history_lost{false};
  std::vector<evacuation_change> evacuations{}; ///< in log order
};

/// \brief Port to the store that publishes configurations, evacuations and endpoints. Calls throw
/// `log_unavailable`.
class fleet_source {
 public:
  fleet_source() = default;
  fleet_source(const fleet_source&) = delete;
  fleet_source& operator=(const fleet_source&) = delete;
  virtual ~fleet_source() = default;

  /// \returns the newest configuration and every evacuation in force
  [[nodiscard]] virtual config_changes newest_config() = 0;
  /// \brief Waits until there is a change, at most for `wait`.
  [[nodiscard]] virtual config_changes configs_from(std::uint64_t from, time_ms wait) = 0;
  /// \returns every registered endpoint
  [[nodiscard]] virtual endpoint_changes newest_endpoints() = 0;
  [[nodiscard]] virtual endpoint_changes endpoints_from(std::uint64_t from) = 0;
};

} // namespace sedgechute
