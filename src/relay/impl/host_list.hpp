#pragma once

#include "telemetry/telemetry.hpp"

#include <string>
#include <vector>

namespace sedgechute {

/// \brief An entry host as it tells the others of itself.
struct host_entry {
  std::string name;
  std::string address; ///< `IP:port` for reports between hosts; an IP number, never a name
  std::string data_centre;

  bool operator==(const host_entry&) const = default;
};

struct host_listing {
  std::vector<host_entry> hosts;
  std::vector<entry_fault> faults; ///< entries that name no host
};

/// \brief Where entry hosts find each other. Calls throw `log_unavailable`.
class host_list {
 public:
  host_list() = default;
  host_list(const host_list&) = delete;
  host_list& operator=(const host_list&) = delete;
  virtual ~host_list() = default;

  /// \returns every host that was announced; some may be gone
  [[nodiscard]] virtual host_listing hosts() = 0;
  virtual void announce(const host_entry& self) = 0;
};

} // namespace sedgechute
