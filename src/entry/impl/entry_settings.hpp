#pragma once

#include "kernel/kernel.hpp"
#include "relay/relay.hpp"
#include "routing/impl/stop_policy.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Settings of an entry host, read at its start.
struct entry_settings {
  std::string host;
  std::string data_centre;
  std::string callers;          ///< `IP:port` on which callers connect
  std::string peers;            ///< `IP:port` for datagrams between entry hosts
  std::string status;           ///< `IP:port` of readiness and metrics
  std::string store;            ///< `IP:port` of the platform's store
  stop_bounds stop;             ///< spans from the signal to stop
  double retry_ratio{0.2};      ///< of the requests for a service
  std::uint64_t retry_slack{0}; ///< beyond it, for all hosts together
  time_ms retry_window{10000};
  time_ms config_bound{2000}; ///< a change is to be in force here so long after its publication
  time_ms drain_bound{2000};  ///< an endpoint that leaves still serves for so long after saying so
  time_ms heartbeat{1500};    ///< endpoints renew their entries so often
  double processor_share{1};  ///< of a core, that this host may use
  time_ms event_latency{0};   ///< bound on the delay of a stream's events; 0: none
  std::optional<double> memory_mb;   ///< of this host's machine; nothing: unbounded
  std::size_t max_connections{3000}; ///< of callers
  time_ms stall{2000};               ///< a connection silent for so long may be evicted
  std::size_t framing_per_byte{chunk_bounds{}.framing_per_byte}; ///< of chunked bodies
  receive_bounds receive;       ///< on what the kernel holds of a connection
  region_map regions;           ///< of the data centres
  cold_start_bounds cold_start; ///< on requests to endpoints that have just started
};

/// \returns the name under which the host keeps accounts and is known to others: with its address
[[nodiscard]] std::string identity_of(const entry_settings& settings);

struct settings_fault {
  std::string where; ///< file and pointer
  std::string why;
};

struct settings_reading {
  entry_settings settings;            ///< means nothing where there are faults
  std::vector<std::string> unknown;   ///< names that mean nothing here; ignored
  std::vector<settings_fault> faults; ///< all that is wrong
};

/// \param where  the file, for messages
[[nodiscard]] settings_reading check_entry_settings(const std::string& where,
                                                    std::string_view text);
/// \brief The same for settings that are to be used.
/// \throws error `invalid_settings`, the first of the faults
[[nodiscard]] settings_reading parse_entry_settings(const std::string& where,
                                                    std::string_view text);

} // namespace sedgechute
