#include "entry/impl/fleet_watch.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <utility>

namespace sedgechute {

// Two failures make a read miss a change. The store may not wake a read that waits; then the change
// is read when the wait is over. Or the connection has gone silent; then it is read over a new
// connection after the timeout. Wait and timeout together take three quarters of the bound; the
// rest is for the pause after a failed read, the new connection and a slow reply.
config_read config_read_within(time_ms bound) noexcept {
  constexpr std::int64_t wait_part = 4;
  constexpr std::int64_t timeout_part = 2;
  return {time_ms{bound.count() / wait_part}, time_ms{bound.count() / timeout_part}};
}

// More than half of the bound is left for a slow store and for requests that are being sent. New
// endpoints should be found soon, however large the bound is.
time_ms endpoint_interval_within(time_ms bound) noexcept {
  constexpr std::int64_t percent = 30;
  constexpr time_ms longest{1500};
  return std::min(time_ms{bound.count() * percent / 100}, longest);
}

// An entry is removed after three heartbeats of silence. As many again are for a slow store, and
// for hosts to read the removal.
time_ms settle_time(time_ms heartbeat) noexcept {
  constexpr std::int64_t heartbeats = 6;
  return heartbeat * heartbeats;
}

fleet_watch::fleet_watch(fleet_source& source, endpoint_directory& endpoints,
                         config_listener on_config, const fleet_watch_options& options,
                         const clock& time, entry_faults& faults, structured_log& log)
    : source_{source}, endpoints_{endpoints}, registered_{endpoints, options.settle, faults, log},
      on_config_{std::move(on_config)}, options_{options}, time_{time}, faults_{faults}, log_{log},
      returned_at_{time.now()} {}

fleet_watch::~fleet_watch() {
  stop();
}

void fleet_watch::start() {
  config_thread_ = std::thread{[this] { watch_configs(); }};
  endpoint_thread_ = std::thread{[this] { watch_endpoints(); }};
}

void fleet_watch::stop() noexcept {
  pauses_.stop();
  {
    const std::scoped_lock lock{refresh_mutex_};
    stopping_ = true;
    refreshed_.notify_all();
  }
  if (config_thread_.joinable())
    config_thread_.join();
  if (endpoint_thread_.joinable())
    endpoint_thread_.join();
}

config_ptr fleet_watch::config() const {
  const std::scoped_lock lock{mutex_};
  return config_;
}

void fleet_watch::note_reachable(cursor& at, std::string_view what, bool reachable,
                                 std::string_view reason) {
  if (at.reachable == reachable)
    return;
  at.reachable = reachable;
  log_.write(reachable ? severity::info : severity::warning,
             reachable ? "store_reachable" : "store_unreachable", {},
             {{log_field::document, what}, {log_field::reason, reason}});
}

void fleet_watch::watch_configs() {
  cursor at;
  do {
    try {
      read_configs(at);
      note_reachable(at, "configuration", true, "");
    } catch (const std::exception& failure) {
      note_reachable(at, "configuration", false, failure.what());
    }
  } while (pauses_.pause(at.reachable ? time_ms{0} : options_.retry_pause));
}

// Evacuations come first: the first configuration makes this host ready.
void fleet_watch::read_configs(cursor& at) {
  bool all = !at.known;
  config_changes changes =
      all ? source_.newest_config() : source_.configs_from(at.end, options_.config_wait);
  if (changes.history_lost) {
    changes = source_.newest_config();
    all = true;
  }
  take_evacuations(changes.evacuations, all);
  // A version that cannot be parsed changes nothing: the one in force stays, and a host without one
  // is not ready.
  for (const entry_fault& fault : changes.faults)
    faults_.note(entry_topic::configuration, fault.key, fault.why);
  if (!changes.versions.empty() && changes.faults.empty())
    faults_.clear(entry_topic::configuration);
  for (const config_ptr& version : changes.versions)
    adopt(version);
  at.end = changes.end;
  at.known = !changes.history_lost;
}

void fleet_watch::take_evacuations(const std::vector<evacuation_change>& changes, bool all) {
  for (const evacuation_change& change : changes)
    if (!change.fault.empty())
      faults_.note(entry_topic::evacuations, change.data_centre.str(), change.fault);
    else
      faults_.clear(entry_topic::evacuations, change.data_centre.str());
  const evacuated_centres before =
      std::exchange(evacuated_, apply_changes(evacuated_, changes, all));
  if (evacuated_ == before)
    return;
  endpoints_.set_evacuated(evacuated_);
  for (const data_centre_id& centre : evacuated_)
    if (!before.contains(centre))
      log_.write(severity::warning, "evacuation_begun", {},
                 {{log_field::data_centre, centre.str()}});
  for (const data_centre_id& centre : before)
    if (!evacuated_.contains(centre))
      log_.write(severity::warning, "evacuation_ended", {},
                 {{log_field::data_centre, centre.str()}});
}

// Versions only increase: an older one that is read late, or again, is ignored.
void fleet_watch::adopt(const config_ptr& offered) {
  {
    const std::scoped_lock lock{mutex_};
    if (config_ && offered->version <= config_->version)
      return;
    config_ = offered;
  }
  log_.write(severity::info, "config_in_force", {},
             {{log_field::version, offered->version}, {log_field::count, offered->route_count()}});
  on_config_(offered);
}

bool fleet_watch::refresh_endpoints(time_ms timeout) {
  std::unique_lock lock{refresh_mutex_};
  const std::uint64_t number = ++refreshes_asked_;
  refreshed_.notify_all();
  return refreshed_.wait_for(lock, std::chrono::milliseconds{timeout.count()}, [&] {
    return stopping_ || refreshes_done_ >= number;
  }) && refreshes_done_ >= number;
}

bool fleet_watch::pause_endpoints(time_ms span) {
  std::unique_lock lock{refresh_mutex_};
  refreshed_.wait_for(lock, std::chrono::milliseconds{span.count()},
                      [&] { return stopping_ || refreshes_asked_ > refreshes_done_; });
  return !stopping_;
}

std::uint64_t fleet_watch::refreshes_asked() {
  const std::scoped_lock lock{refresh_mutex_};
  return refreshes_asked_;
}

void fleet_watch::note_refreshed(std::uint64_t asked) {
  const std::scoped_lock lock{refresh_mutex_};
  refreshes_done_ = asked;
  refreshed_.notify_all();
}

void fleet_watch::watch_endpoints() {
  cursor at;
  do {
    const bool was_reachable = at.reachable;
    try {
      const std::uint64_t asked = refreshes_asked();
      read_endpoints(at);
      note_refreshed(asked);
      if (!was_reachable)
        returned_at_ = time_.now();
      note_reachable(at, "endpoints", true, "");
    } catch (const std::exception& failure) {
      note_reachable(at, "endpoints", false, failure.what());
    }
  } while (at.reachable ? pause_endpoints(until_next_endpoints())
                        : pauses_.pause(options_.retry_pause));
}

// Entries that are still missing after the grace are removed by the first read after it. One
// interval later would be too late for an endpoint that has left.
time_ms fleet_watch::until_next_endpoints() const {
  const time_ms grace_left = returned_at_ + options_.lapse_grace - time_.now();
  return grace_left > time_ms{0} ? std::min(grace_left, options_.endpoint_interval)
                                 : options_.endpoint_interval;
}

void fleet_watch::read_endpoints(cursor& at) {
  bool all = !at.known;
  endpoint_changes changes = all ? source_.newest_endpoints() : source_.endpoints_from(at.end);
  if (changes.history_lost) {
    changes = source_.newest_endpoints();
    all = true;
  }
  if (all)
    endpoints_.begin_list();
  // While the store is down, entries expire although their endpoints run. Until these have had time
  // to register again, a missing entry proves nothing.
  const bool just_back = !at.reachable || time_.now() - returned_at_ < options_.lapse_grace;
  registered_.apply(changes, all, time_.now());
  if (!just_back) {
    registered_.drop_lapsed();
    registered_.adopt_settled(returned_at_, time_.now());
  }
  registered_.check_services(config());
  at.end = changes.end;
  at.known = !changes.history_lost;
  endpoints_known_ = true;
}

} // namespace sedgechute
