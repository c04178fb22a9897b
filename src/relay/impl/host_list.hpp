#pragma once

#include "telemetry/telemetry.hpp"

#include <string>
#include <vector>

namespace sedgechute {

/// \brief The announcement of an entry host.
struct host_entry {
  std::string name;
  std::string address; ///< `IP:port` for datagrams between hosts; a numeric IP, never a name
  std::string data_centre;

  bool operator==(const host_entry&) const = default;
};

struct host_listing {
  std::vector<host_entry> hosts;
  std::vector<entry_fault> faults; ///< entries that cannot be parsed
};

/// \brief Port to the list of entry hosts. Calls throw `log_unavailable`.
class host_list {
 public:
  host_list() = default;
  host_list(const host_list&) = delete;
  host_list& operator=(const host_list&) = delete;
  virtual ~host_list() = default;

  /// \returns every announced host; some may have stopped
  [[nodiscard]] virtual host_listing hosts() = 0;
  virtual void announce(const host_entry& self) = 0;
};

} // namespace sedgechute
