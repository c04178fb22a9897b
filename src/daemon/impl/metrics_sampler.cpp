#include "daemon/impl/metrics_sampler.hpp"

namespace sedgechute {

namespace {

// The sum over all teams reads a row of each: at 220,000 that is too much for every second.
constexpr std::uint64_t samples_per_sum = 10;

} // namespace

// A counter that first shows with its first event cannot be told from one that nobody feeds, and
// its rate misses that event. These count what should never happen, so they begin at 0.
metrics_sampler::metrics_sampler(metrics& figures, const metric_sources& from)
    : metrics_{figures}, from_{from} {
  for (const char* reason : {"impostor", "truncated", "forged", "replayed"})
    metrics_.add(metric::peer_messages_refused, {reason}, 0.0);
  for (const char* side : {"callers", "peers", "admin", "datagrams"})
    metrics_.add(metric::credential_reloads, {side, "refused"}, 0.0);
}

void metrics_sampler::sample(const membership_view& view, const incarnation& self) {
  sample_pools();
  sample_log();
  sample_claims();
  sample_peers(view, self);
  sample_state();
  if (samples_++ % samples_per_sum == 0)
    metrics_.set(metric::tokens_written_off, {}, static_cast<double>(from_.budgets.written_off()));
  count_up(metric::decisions_sampled_out, {}, from_.events.sampled_out());
  count_up(metric::log_lines_suppressed, {}, from_.log.suppressed());
}

void metrics_sampler::sample_pools() {
  for (const pool_id& pool : from_.dispatch.pools()) {
    const dispatch_service::pool_figures figures = from_.dispatch.figures(pool);
    metrics_.set(metric::queue_length, {pool.str()}, static_cast<double>(figures.queue.queued));
    for (const auto& [state, name] : enum_names<endpoint_state>::entries)
      metrics_.set(metric::endpoints, {pool.str(), name},
                   static_cast<double>(figures.load.by_state[static_cast<std::size_t>(state)]));
  }
  metrics_.set(metric::quarantined, {}, static_cast<double>(from_.dispatch.quarantined()));
}

void metrics_sampler::sample_log() {
  const replay_status replay = from_.replayer.status();
  metrics_.set(metric::log_offset, {}, static_cast<double>(replay.position));
  metrics_.set(metric::log_reachable, {}, replay.log_reachable ? 1.0 : 0.0);
  count_up(metric::log_appends, {"answered"}, from_.appender.appends());
  count_up(metric::log_appends, {"failed"}, from_.appender.failures());
}

void metrics_sampler::sample_claims() {
  const claims_statistics claims = from_.claims.statistics();
  metrics_.set(metric::claims, {}, static_cast<double>(claims.stored_claims));
  metrics_.set(metric::claim_shards, {"held"}, static_cast<double>(claims.shards_held));
  metrics_.set(metric::claim_shards, {"witnessed"}, static_cast<double>(claims.shards_witnessed));
  metrics_.set(metric::claim_shards, {"lost"}, static_cast<double>(claims.shards_without_holder));
}

void metrics_sampler::sample_peers(const membership_view& view, const incarnation& self) {
  int alive = 0;
  int suspect = 0;
  int leaving = 0;
  for (const member& one : view.members) {
    if (one.who == self)
      continue;
    if (one.leaving)
      ++leaving;
    else if (one.state == member_state::suspect)
      ++suspect;
    else
      ++alive;
  }
  metrics_.set(metric::peers, {"alive"}, alive);
  metrics_.set(metric::peers, {"suspect"}, suspect);
  metrics_.set(metric::peers, {"leaving"}, leaving);
}

void metrics_sampler::sample_state() {
  const std::string reason = from_.status.not_ready_reason();
  const bool stopping = reason == host_status::stopping_reason;
  metrics_.set(metric::host_state, {"ready"}, reason.empty() ? 1.0 : 0.0);
  metrics_.set(metric::host_state, {"stopping"}, stopping ? 1.0 : 0.0);
  metrics_.set(metric::host_state, {"not_ready"}, reason.empty() || stopping ? 0.0 : 1.0);
}

void metrics_sampler::count_up(metric id, metrics::label_values labels, std::uint64_t total) {
  prometheus::Counter& counter = metrics_.counter_at(id, labels);
  const double grown = static_cast<double>(total) - counter.Value();
  if (grown > 0.0)
    counter.Increment(grown);
}

} // namespace sedgechute
