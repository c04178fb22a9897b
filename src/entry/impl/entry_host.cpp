#include "entry/impl/entry_host.hpp"

#include <Poco/Net/SocketAddress.h>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <sstream>
#include <thread>

namespace sedgechute {

namespace {

// The store answers within some milliseconds; when it is slow, within half a second.
constexpr time_ms store_timeout{1200};

// Appends to one partition of the accounts wait for each other.
constexpr unsigned account_partitions = 4;

constexpr time_ms stop_poll_interval{10};

constexpr int listen_backlog = 512;

constexpr double ms_per_second = 1000;

// A request that waits longer for a thread shows that this host serves nobody.
constexpr time_ms max_thread_wait{2000};

// Of a request whose stream may go on only where the endpoint list shows a sole build.
constexpr time_ms max_refresh_wait{300};

// Open requests of a host whose processor is fully used. With more, all of them are late.
constexpr double open_requests_per_core = 1600;
constexpr std::size_t min_open_requests = 60;

// With fewer than a tenth of its maximum open, delays of its threads are not attributed to its own
// load.
constexpr std::size_t busy_divisor = 10;

// The rest of the maximum is left to the host's own callers.
constexpr std::size_t forwarded_divisor = 2;

std::size_t max_open_requests(double processor_share) {
  return std::max(min_open_requests,
                  static_cast<std::size_t>(open_requests_per_core * processor_share));
}

/// \returns the memory of the machine in MB, or infinity where the kernel does not tell
double machine_memory_mb() {
  constexpr double bytes_per_mb = 1024.0 * 1024.0;
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long page_bytes = ::sysconf(_SC_PAGESIZE);
  if (pages <= 0 || page_bytes <= 0)
    return std::numeric_limits<double>::infinity();
  return static_cast<double>(pages) * static_cast<double>(page_bytes) / bytes_per_mb;
}

void sleep_for(time_ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span.count()});
}

// The receive buffer is inherited by connections, also by those that have not been accepted.
/// \param receive_bytes  that the kernel may hold of each connection
Poco::Net::ServerSocket listen_on(const std::string& address, std::size_t receive_bytes) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress{address}, true, false);      // exclusively
  socket.setReceiveBufferSize(static_cast<int>(receive_bytes / 2)); // the kernel doubles it
  socket.listen(listen_backlog);
  return socket;
}

std::vector<std::unique_ptr<account_log>> account_logs(const std::string& store) {
  std::vector<std::unique_ptr<account_log>> logs;
  for (unsigned part = 0; part < account_partitions; ++part)
    logs.push_back(std::make_unique<account_topic>(store, store_timeout, part));
  return logs;
}

/// Names of the log lines on a rate that endpoints name.
struct rate_events {
  std::string_view named;
  std::string_view ended;
  std::string_view malformed;
};

void log_rate(structured_log& log, const rate_notice& notice, const rate_events& events) {
  const log_subject subject{.endpoint = notice.endpoint.str()};
  if (notice.malformed) {
    log.write(severity::warning, events.malformed, subject,
              {{log_field::reason, *notice.malformed}});
    return;
  }
  const bool ended = notice.change == announced_rate::change::ended;
  log.write(severity::info, ended ? events.ended : events.named, subject,
            {{log_field::rate, std::to_string(notice.per_second)},
             {log_field::kind, notice.told ? "told" : "named"}});
}

} // namespace

entry_host::entry_host(entry_settings settings, const clock& time, structured_log& log,
                       std::function<bool()> stop_requested)
    : settings_{std::move(settings)}, time_{time}, log_{log},
      stop_requested_{std::move(stop_requested)}, figures_{settings_.host}, faults_{log, figures_},
      topics_{settings_.store, store_timeout,
              std::min(store_timeout, config_read_within(settings_.config_bound).timeout)},
      hosts_{settings_.store, store_timeout}, quarantines_{settings_.store, store_timeout},
      endpoints_{data_centre_id{settings_.data_centre}, choice_weights{},  time,
                 random_source::from_system(),          settings_.regions, settings_.cold_start},
      contents_{content_guard_options{}, log} {
  const std::uint64_t incarnation = random_source::from_system()();
  const std::string identity = identity_of(settings_);
  const host_identity owner{identity, incarnation, machine_time_.reading()};
  budgets_ = std::make_unique<budget_manager>(
      owner, prepaid_options{}, account_logs(settings_.store), machine_time_, faults_, log);
  figures_.add(metric::brittle_refusals, {}, 0);
  figures_.add(metric::part_trials, {}, 0);
  figures_.add(metric::endpoint_pauses, {}, 0);
  figures_.add(metric::endpoints_leaving, {}, 0);
  figures_.add(metric::evicted_connections, {}, 0);
  figures_.add(metric::outdated_entries, {name_of(entry_topic::endpoints)}, 0);
  figures_.add(metric::unfinished_refusals, {name_of(error_kind::slow_caller), "header"}, 0);
  endpoints_.on_restart([this](const endpoint_restart& found) { note_restart(found); });
  endpoints_.on_limit([this](const rate_notice& notice) { note_limit(notice); });
  endpoints_.on_pause([this](const pause_notice& notice) { note_pause(notice); });
  endpoints_.on_malformed_load([this](const endpoint_id& endpoint, const std::string& report) {
    log_.write(severity::warning, "endpoint_load_malformed", {.endpoint = endpoint.str()},
               {{log_field::reason, report}});
  });
  endpoints_.on_says_leaving([this](const endpoint_id& endpoint) {
    figures_.add(metric::endpoints_leaving, {});
    log_.write(severity::info, "endpoint_says_leaving", {.endpoint = endpoint.str()}, {});
  });
  endpoints_.on_brittle([this](const rate_notice& notice) { note_brittle(notice); });
  endpoints_.on_cut([this] { note_cut(); });
  endpoints_.on_loss([this](const endpoint_id& endpoint, endpoint_hash life, loss_source source) {
    contents_.note_lost(endpoint, life, source, time_.now());
  });
  fleet_ = std::make_unique<fleet_watch>(
      topics_, endpoints_, [this](const config_ptr& config) { take_config(config); },
      fleet_watch_options{.config_wait = config_read_within(settings_.config_bound).wait,
                          .endpoint_interval = endpoint_interval_within(settings_.drain_bound),
                          .settle = settle_time(settings_.heartbeat)},
      time, faults_, log);
  peers_ =
      std::make_unique<peer_channel>(host_entry{identity, settings_.peers, settings_.data_centre},
                                     hosts_, machine_time_, peer_channel_options{}, faults_, log);
  loads_ = std::make_unique<load_exchange>(incarnation, *peers_, endpoints_,
                                           load_exchange_options{}, time);
  quarantine_exchange_ = std::make_unique<quarantine_exchange>(
      contents_, *peers_, quarantines_, quarantine_exchange_options{}, time, faults_);
  limit_exchange_ =
      std::make_unique<limit_exchange>(endpoints_, *peers_, limit_exchange_options{}, time);
  rooms_ = std::make_unique<room_exchange>(endpoints_, *peers_, room_exchange_options{}, time);
  stream_builds_ =
      std::make_unique<stream_build_exchange>(*peers_, stream_build_exchange_options{}, time);
  endpoints_.set_drain_grace(endpoint_interval_within(settings_.drain_bound));
  loans_ = std::make_unique<token_loans>(
      identity, *budgets_,
      [this](const std::string& host, std::string_view bytes) {
        return peers_->send(host, peer_message::token_loan, bytes);
      },
      [this](const std::string& host) { return peers_->near(host); }, loan_options{}, time, log);
  // After a loss of power all hosts start at once. If each took tokens before it knew the others,
  // their appends would conflict, and again when they return the tokens.
  budgets_->set_holder_predicate([this](const std::string& team) {
    return peers_->hosts_known() && holds_tokens_of(account_partition(team, account_partitions),
                                                    peers_->self().name, peers_->near_hosts());
  });
  peers_->on_hosts([this] { take_hosts(); });
  peers_->on(peer_message::token_loan,
             [this](std::string_view bytes) { return loans_->handle(bytes); });
  relay_options options;
  prober_ =
      std::make_unique<endpoint_prober>(endpoints_, dialect_, options.connect_timeout, time, log);
  options.retries.ratio = settings_.retry_ratio;
  options.retries.slack = settings_.retry_slack;
  options.retries.window = settings_.retry_window;
  options.stop = settings_.stop;
  options.event_latency = settings_.event_latency;
  options.max_open = max_open_requests(settings_.processor_share);
  options.max_forwarded = options.max_open / forwarded_divisor;
  options.max_preparing = max_preparing(settings_.processor_share);
  options.memory = divide_memory(usable_memory(settings_.memory_mb, machine_memory_mb()));
  processor_ = std::make_unique<processor_monitor>(
      shedding_options{}, [this] { return relay_->open(); }, options.max_open / busy_divisor, time,
      log);
  relay_ = std::make_unique<request_relay>(
      request_relay::parts{
          dialect_, endpoints_, contents_, *budgets_, time, log, figures_,
          [this] { return fleet_->config(); }, [this] { return peers_->peers().size() + 1; },
          host_pressure{
              .sheds = [this] { return processor_->sheds(); },
              .refused_fraction = [this] { return processor_->refused_fraction(); },
              .grouping = [this] { return processor_->grouping(); },
              .busy_for = [this] { return processor_->busy_for(); },
              .note_request = [this](bool turned_away) { processor_->note_request(turned_away); }},
          region_of(settings_.data_centre),
          stream_build_port{
              .record = [this](const stream_record& begun) { stream_builds_->record(begun); },
              .find = [this](stream_key stream) { return stream_builds_->find(stream); },
              .refresh_endpoints = [this] { return fleet_->refresh_endpoints(max_refresh_wait); }},
          room_port{.ask = [this](const placement& place) { return rooms_->ask(place); },
                    .end = [this](const placement& place,
                                  bool refused) { rooms_->end(place, refused); }}},
      options);
}

entry_host::~entry_host() = default;

void entry_host::start() {
  status_ = std::make_unique<status_server>(
      pages(), listen_on(settings_.status, settings_.receive.usual_bytes));
  status_->start();
  budgets_->start();
  fleet_->start();
  peers_->start();
  loads_->start();
  quarantine_exchange_->start();
  limit_exchange_->start();
  rooms_->start();
  stream_builds_->start();
  prober_->start();
  processor_->start();
  host_frontend_ = make_frontend(settings_.peers, true);
  host_frontend_->start();
  caller_frontend_ = make_frontend(settings_.callers, false);
  caller_frontend_->start();
  log_.write(
      severity::info, "started", {},
      {{log_field::address, settings_.callers}, {log_field::data_centre, settings_.data_centre}});
}

std::unique_ptr<http_frontend> entry_host::make_frontend(const std::string& address,
                                                         bool from_hosts) {
  const auto limits = [this] {
    const config_ptr config = fleet_->config();
    return config ? config->limits : caller_limits{};
  };
  http_frontend_options options{.from_hosts = from_hosts};
  options.connections.max_connections = settings_.max_connections;
  options.connections.stall = settings_.stall;
  options.connections.receive = settings_.receive;
  options.framing_per_byte = settings_.framing_per_byte;
  return std::make_unique<http_frontend>(*relay_, dialect_, limits, options,
                                         listen_on(address, settings_.receive.usual_bytes), time_,
                                         log_);
}

std::size_t entry_host::unanswered() const noexcept {
  return caller_frontend_->unanswered() + host_frontend_->unanswered();
}

// New connections are accepted until the end: in a data centre with most of its hosts out of
// rotation, the balancer uses all of them.
time_ms entry_host::stop() {
  planned_stop& stop = relay_->stop();
  stop.begin();
  stopping_ = true;
  log_.write(severity::info, "stopping", {}, {{log_field::open, relay_->open()}});
  stream_builds_->hand_over();
  serve_until_end(stop);
  stream_builds_->hand_over();
  const std::size_t cut = relay_->open();
  stop.cut();
  const exit_timeouts spans = exit_timeouts_for(settings_.stop, stop.since());
  wait_until([&] { return caller_frontend_->busy() + host_frontend_->busy() == 0; }, spans.answers);
  const bool handed_back = budgets_->finish(spans.exchange);
  log_.write(severity::info, "stopped", {},
             {{log_field::count, cut},
              {log_field::kind, handed_back ? "tokens handed back" : "tokens kept"},
              {log_field::duration_ms, stop.since()}});
  return spans.lines;
}

// A request that is still arriving counts like one that runs: otherwise its caller would get no
// answer. While the log is down, tokens cannot be returned and would be lost to their teams, and
// the next incarnation could not serve either.
void entry_host::serve_until_end(planned_stop& stop) const {
  const auto may_end = [&] {
    const bool log_away = budgets_->loaded() && !budgets_->log_reachable();
    return stop.may_end(unanswered() + (log_away ? 1 : 0));
  };
  while (!stop.notice_over())
    sleep_for(stop_poll_interval);
  stop.close_idle();
  log_.write(
      severity::info, "notice_over", {},
      {{log_field::count, caller_frontend_->connections()}, {log_field::open, relay_->open()}});
  while (!may_end())
    sleep_for(stop_poll_interval);
  stop.end_taking();
  while (!may_end())
    sleep_for(stop_poll_interval); // requests that were accepted in the last moment
}

void entry_host::wait_until(const std::function<bool()>& done, time_ms most) const {
  for (const time_ms until = time_.now() + most; !done() && time_.now() < until;)
    sleep_for(stop_poll_interval);
}

time_ms entry_host::thread_wait() const {
  return std::max(caller_frontend_ ? caller_frontend_->thread_wait() : time_ms{},
                  host_frontend_ ? host_frontend_->thread_wait() : time_ms{});
}

std::string entry_host::not_ready_reason() const {
  if (stopping_ || stop_requested_())
    return "stopping";
  if (!fleet_->config())
    return "no configuration";
  if (!fleet_->endpoints_known())
    return "no endpoints";
  if (!budgets_->loaded())
    return "no accounts";
  if (endpoints_.cut_off())
    return "cut off";
  if (processor_->busy())
    return "busy";
  if (thread_wait() >= max_thread_wait)
    return "no thread is free";
  return {};
}

void entry_host::take_config(const config_ptr& config) {
  std::map<std::string, std::uint64_t> prepaid;
  for (const auto& [name, team] : config->teams())
    if (team.prepaid)
      prepaid.emplace(name, *team.prepaid);
  budgets_->set_prepaid(std::move(prepaid));
  std::unordered_map<std::string, cold_start_terms> cold_start;
  for (const auto& [name, service] : config->services())
    cold_start.emplace(name, service.cold_start);
  endpoints_.set_cold_start(std::move(cold_start));
}

void entry_host::take_hosts() {
  budgets_->on_holders_changed();
  std::vector<std::string> others;
  std::vector<forward_target> targets;
  for (const peer& other : peers_->peers()) {
    others.push_back(other.host);
    targets.push_back({other.host, other.address.toString(), region_of(other.data_centre)});
  }
  relay_->set_hosts(std::move(targets));
  endpoints_.set_hosts(peers_->self().name, others);
  contents_.set_hosts(peers_->self().name, others.size() + 1);
  stream_builds_->update_hosts();
  rooms_->update_hosts();
}

std::string entry_host::region_of(const std::string& data_centre) const {
  const auto at = settings_.regions.find(data_centre);
  return at == settings_.regions.end() ? std::string{} : at->second;
}

// Several threads may report changes at once. Reading the state under the lock lets the last report
// win.
void entry_host::note_cut() {
  const std::scoped_lock lock{cut_mutex_};
  const bool cut_off = endpoints_.cut_off();
  contents_.set_cut_off(cut_off);
  log_.write(severity::warning, cut_off ? "endpoints_cut_off" : "endpoints_reached", {},
             {{log_field::count, endpoints_.size()}});
}

void entry_host::note_restart(const endpoint_restart& found) {
  figures_.add(metric::endpoint_restarts, {name_of(found.found_by)});
  log_.write(severity::info, "endpoint_restarted", {.endpoint = found.endpoint.str()},
             {{log_field::kind, name_of(found.found_by)},
              {log_field::before_ms, found.before},
              {log_field::started_ms, found.started}});
}

void entry_host::note_limit(const rate_notice& notice) {
  log_rate(log_, notice, {"endpoint_limited", "endpoint_limit_ended", "endpoint_limit_malformed"});
}

void entry_host::note_pause(const pause_notice& notice) {
  if (notice.malformed) {
    log_.write(severity::warning, "endpoint_pause_malformed", {.endpoint = notice.endpoint.str()},
               {{log_field::reason, *notice.malformed}});
    return;
  }
  figures_.add(metric::endpoint_pauses, {});
  log_.write(severity::info, "endpoint_pauses", {.endpoint = notice.endpoint.str()},
             {{log_field::duration_ms, notice.pause}});
}

void entry_host::note_brittle(const rate_notice& notice) {
  log_rate(log_, notice,
           {"endpoint_brittle", "endpoint_brittle_ended", "endpoint_brittle_malformed"});
}

std::string entry_host::budget_page() const {
  std::ostringstream text;
  for (const auto& [team, figures] : budgets_->totals())
    text << team << " prepaid " << figures.prepaid << " granted " << figures.granted << " used "
         << figures.used << " here " << figures.slack << " promised " << figures.promised
         << (figures.active ? " active" : " idle") << '\n';
  return text.str();
}

void entry_host::export_promises() {
  double idle = 0;
  double promised = 0;
  for (const auto& [team, figures] : budgets_->totals()) {
    idle += figures.active ? 0 : 1;
    promised += static_cast<double>(figures.promised);
  }
  figures_.set(metric::idle_teams, {}, idle);
  figures_.set(metric::promised_tokens, {}, promised);
}

status_server::pages entry_host::pages() {
  return {
      {"/readyz",
       [this] {
         const std::string reason = not_ready_reason();
         return reason.empty() ? status_answer{200, "ready\n"} : status_answer{503, reason + "\n"};
       }},
      {"/metrics",
       [this] {
         figures_.sample_process();
         figures_.set(metric::evacuated_data_centres, {},
                      static_cast<double>(endpoints_.evacuated()));
         figures_.set(metric::quarantined, {},
                      static_cast<double>(contents_.quarantined(time_.now())));
         figures_.set(metric::quarantined_parts, {},
                      static_cast<double>(contents_.quarantined_parts(time_.now())));
         figures_.set(metric::pausing_endpoints, {}, static_cast<double>(endpoints_.pausing()));
         figures_.set(metric::limited_endpoints, {},
                      static_cast<double>(endpoints_.limits().size()));
         figures_.set(metric::brittle_endpoints, {},
                      static_cast<double>(endpoints_.brittle_endpoints().size()));
         figures_.set(metric::stream_records, {}, static_cast<double>(stream_builds_->records()));
         figures_.set(metric::cut_off, {}, endpoints_.cut_off() ? 1 : 0);
         figures_.set(metric::held_bytes, {"bodies"},
                      static_cast<double>(relay_->memory().held(held_message::body)));
         figures_.set(metric::held_bytes, {"answers"},
                      static_cast<double>(relay_->memory().held(held_message::answer)));
         figures_.set(metric::held_bytes_limit, {"bodies"},
                      static_cast<double>(relay_->memory().limits().bodies));
         figures_.set(metric::held_bytes_limit, {"answers"},
                      static_cast<double>(relay_->memory().limits().answers));
         figures_.set(metric::held_bytes, {"connections"},
                      static_cast<double>(relay_->memory().held(held_message::connection)));
         figures_.set(metric::held_bytes_limit, {"connections"},
                      static_cast<double>(relay_->memory().limits().connections));
         figures_.set(metric::task_wait, {},
                      static_cast<double>(thread_wait().count()) / ms_per_second);
         export_promises();
         for (const auto& [service, spread] : endpoints_.speed_spreads())
           figures_.set(metric::endpoint_speed_spread, {service}, spread);
         figures_.set(metric::cold_endpoints, {}, static_cast<double>(endpoints_.cold()));
         return status_answer{200, figures_.text()};
       }},
      {"/budgets", [this] {
         return status_answer{200, budget_page()};
       }}};
}

} // namespace sedgechute
