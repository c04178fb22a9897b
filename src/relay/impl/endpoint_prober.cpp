#include "relay/impl/endpoint_prober.hpp"

#include "relay/impl/connection.hpp"
#include "relay/impl/start_time_query.hpp"

namespace sedgechute {

namespace {

constexpr time_ms round_interval{100}; // well below the first backoff of a probe

} // namespace

endpoint_prober::endpoint_prober(endpoint_directory& endpoints, const wire_dialect& dialect,
                                 time_ms connect_timeout, const clock& time, structured_log& log)
    : endpoints_{endpoints}, dialect_{dialect},
      connect_timeout_{connect_timeout}, time_{time}, log_{log} {}

endpoint_prober::~endpoint_prober() {
  stop();
}

void endpoint_prober::start() {
  thread_ = std::thread{[this] { run(); }};
}

void endpoint_prober::stop() noexcept {
  pauses_.stop();
  if (thread_.joinable())
    thread_.join();
}

void endpoint_prober::run() {
  while (pauses_.pause(round_interval))
    for (endpoint_directory::probe& probe : endpoints_.due_probes()) {
      probe.began = time_.now();
      probe_one(probe);
    }
}

void endpoint_prober::probe_one(const endpoint_directory::probe& probe) {
  const connect_result result = connect_to(probe.address, connect_timeout_, time_);
  const bool reached = result.link != nullptr;
  const bool silent = result.status == io_status::timed_out;
  endpoints_.note_probe(probe, reached, silent);
  if (reached && probe.query_start_time)
    endpoints_.note_start_time(probe, query_start_time(*result.link, probe.endpoint, dialect_,
                                                       time_.now() + connect_timeout_));
  log_.write(
      severity::info, reached ? "endpoint_reachable" : "endpoint_unreachable",
      {.endpoint = probe.endpoint.str()},
      {{log_field::address, probe.address}, {log_field::kind, silent ? "silent" : "refused"}});
}

} // namespace sedgechute
