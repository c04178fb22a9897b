#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/wire_dialect.hpp"
#include "telemetry/telemetry.hpp"

#include <thread>

namespace sedgechute {

/// \brief Probes unreachable endpoints on a thread of its own, so that no request waits for a
/// connect timeout, and queries the start time of endpoints that may have restarted.
class endpoint_prober {
 public:
  endpoint_prober(endpoint_directory& endpoints, const wire_dialect& dialect,
                  time_ms connect_timeout, const clock& time, structured_log& log);
  endpoint_prober(const endpoint_prober&) = delete;
  endpoint_prober& operator=(const endpoint_prober&) = delete;
  ~endpoint_prober();

  void start();
  void stop() noexcept;

 private:
  void run();
  void probe_one(const endpoint_directory::probe& probe);

  endpoint_directory& endpoints_;
  const wire_dialect& dialect_;
  time_ms connect_timeout_;
  const clock& time_;
  structured_log& log_;
  stoppable_pause pauses_;
  std::thread thread_;
};

} // namespace sedgechute
