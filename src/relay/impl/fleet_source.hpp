#pragma once

#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/fleet_config.hpp"
#include "telemetry/telemetry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What has become of one entry of the list of endpoints.
struct endpoint_change {
  endpoint_id id;
  std::optional<endpoint_entry> entry; ///< nothing: it is gone, or cannot be read
  std::string fault{};                 ///< why it cannot be read; empty when it is gone
};

/// \brief Changes of the list of endpoints, in their order.
struct endpoint_changes {
  std::vector<endpoint_change> changes;
  std::uint64_t end{};      ///< where to read on
  bool history_lost{false}; ///< read all entries anew
};

struct config_changes {
  std::vector<config_ptr> versions;
  std::vector<entry_fault> faults; ///< those that cannot be read
  std::uint64_t end{};
  bool history_lost{false};
};

/// \brief Where configurations and endpoints are published. Calls throw `log_unavailable`.
class fleet_source {
 public:
  fleet_source() = default;
  fleet_source(const fleet_source&) = delete;
  fleet_source& operator=(const fleet_source&) = delete;
  virtual ~fleet_source() = default;

  [[nodiscard]] virtual config_changes newest_config() = 0;
  /// \brief Returns as soon as there is a change, or after `wait`.
  [[nodiscard]] virtual config_changes configs_from(std::uint64_t from, time_ms wait) = 0;
  /// \returns every endpoint that is registered
  [[nodiscard]] virtual endpoint_changes newest_endpoints() = 0;
  [[nodiscard]] virtual endpoint_changes endpoints_from(std::uint64_t from) = 0;
};

} // namespace sedgechute
