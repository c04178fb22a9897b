#pragma once

#include "daemon/impl/budget_service.hpp"
#include "daemon/impl/claim_service.hpp"
#include "daemon/impl/dispatch_service.hpp"
#include "daemon/impl/host_status.hpp"
#include "daemon/impl/log_replayer.hpp"
#include "daemon/impl/record_appender.hpp"
#include "telemetry/telemetry.hpp"

namespace sedgechute {

/// \brief What the parts of a host are asked for its metrics.
struct metric_sources {
  dispatch_service& dispatch;
  budget_service& budgets;
  claim_service& claims;
  record_appender& appender;
  log_replayer& replayer;
  host_status& status;
  decision_events& events;
  structured_log& log;
};

/// \brief Brings the metrics up to date that are states rather than events. For one thread.
class metrics_sampler {
 public:
  metrics_sampler(metrics& figures, const metric_sources& from);

  /// \brief To be called about once a second.
  void sample(const membership_view& view, const incarnation& self);

 private:
  void sample_pools();
  void sample_log();
  void sample_claims();
  void sample_peers(const membership_view& view, const incarnation& self);
  void sample_state();
  /// \brief Counts what `total`, which only grows, has grown by since the last call.
  void count_up(metric id, metrics::label_values labels, std::uint64_t total);

  metrics& metrics_;
  metric_sources from_;
  std::uint64_t samples_{0};
};

} // namespace sedgechute
