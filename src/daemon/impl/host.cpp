#include "daemon/impl/host.hpp"

#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

constexpr std::size_t most_answer_bytes = 1U << 20U;
constexpr std::uint32_t routine_events_per_second = 200;
constexpr int accept_backlog = 1024;
constexpr time_ms dispatch_tick{20};
constexpr time_ms control_tick{50};
constexpr time_ms review_tick{1000};
constexpr time_ms key_decision_wait{3000};
constexpr time_ms budget_decision_wait{5000};
constexpr time_ms key_settle_limit{15000};
constexpr std::size_t datagram_headers = 28; // IP and UDP
constexpr time_ms handover_limit{8000};
constexpr time_ms handover_limit_alone{2000};

incarnation new_incarnation(const host_id& name) {
  return {name, random_source::from_system()()};
}

http_target target_of(const address& at) {
  return {at.ip, at.port};
}

std::unique_ptr<log_client> make_log(const platform_settings& platform) {
  return std::make_unique<http_log_client>(target_of(platform.log), platform.stream,
                                           platform.timeout);
}

log_options log_options_of(const host_settings& settings) {
  log_options options;
  options.host = settings.name.str();
  options.file = settings.log.file;
  options.least = value_named<severity>(name_of(settings.log.level)).value_or(severity::info);
  options.repeats = static_cast<std::uint32_t>(settings.log.repeats_per_s);
  return options;
}

chat_limits chat_limits_of(const host_settings& settings) {
  chat_limits limits;
  limits.body_bytes = static_cast<std::size_t>(settings.limits.request_bytes);
  return limits;
}

connection_timeouts timeouts_of(const host_settings& settings) {
  connection_timeouts timeouts;
  timeouts.connect = settings.timeouts.endpoint_connect;
  return timeouts;
}

replay_options replay_options_of(const host_settings& settings) {
  replay_options options;
  options.poll = settings.platform.poll;
  return options;
}

std::vector<datagram_key> datagram_keys_of(const host_settings& settings) {
  if (settings.tls.datagram_keys.empty())
    return {};
  return read_datagram_keys(settings.tls.datagram_keys);
}

peer_credentials peer_credentials_of(const host_settings& settings) {
  if (!settings.tls.peers.enabled())
    return {};
  return {files_of(settings.tls.peers), settings.tls.reload};
}

ledger::ledger_options ledger_options_of() {
  ledger::ledger_options options;
  // Long enough for a lost holder to be noticed and its tokens to be granted anew.
  options.reserve_wait = budget_decision_wait;
  return options;
}

claims_options claims_options_of(const host_settings& settings) {
  claims_options options;
  // Long enough for a lost decider's witness to take over while the request waits.
  options.begin_timeout = key_decision_wait;
  options.answer_bytes = static_cast<std::size_t>(settings.limits.retained_answer_bytes);
  return options;
}

} // namespace

host::host(host_settings settings)
    : settings_{std::move(settings)}, self_{new_incarnation(settings_.name)}, log_{log_options_of(
                                                                                  settings_)},
      metrics_{settings_.name.str()}, events_{static_cast<std::size_t>(
                                                  settings_.limits.decision_events),
                                              routine_events_per_second},
      status_{self_, log_, metrics_, events_, burn_}, membership_seal_{datagram_purpose::membership,
                                                                       self_.number,
                                                                       {}},
      credentials_{settings_, [this](const auto& keys) { use_datagram_keys(keys); }, log_,
                   metrics_},
      peer_credentials_{peer_credentials_of(settings_)}, peers_{self_, settings_.timeouts.peer_call,
                                                                peer_credentials_},
      appender_{self_, settings_.data_centre, make_log(settings_.platform), peers_},
      dispatch_{settings_.data_centre, time_, self_.number,
                [this](const team_id& team) { return documents_.find(team); }},
      budgets_{self_, settings_.data_centre, ledger_options_of(), time_, peers_, appender_},
      claims_{self_,
              settings_.data_centre,
              claims_options_of(settings_),
              time_,
              peers_,
              appender_,
              [this](const endpoint_id& id) { return dispatch_.address_of(id); }},
      orders_{self_,
              dispatch_,
              documents_,
              appender_,
              std::make_unique<http_weight_store_client>(target_of(settings_.platform.weights),
                                                         settings_.platform.timeout),
              time_,
              metrics_,
              events_},
      state_{documents_, budgets_, claims_, dispatch_, orders_},
      replayer_{self_, make_log(settings_.platform), state_, peers_,
                time_, replay_options_of(settings_)},
      loads_{self_, settings_.data_centre, dispatch_, peers_, time_, time_ms{500}},
      shares_{self_, settings_.data_centre, dispatch_, peers_, time_}, connections_{timeouts_of(
                                                                           settings_)},
      answers_{static_cast<std::size_t>(settings_.limits.retained_answer_bytes), most_answer_bytes},
      followed_{peers_}, gateway_{settings_.name,
                                  time_,
                                  chat_limits_of(settings_),
                                  settings_.timeouts.caller_body,
                                  status_,
                                  documents_,
                                  budgets_,
                                  dispatch_,
                                  claims_,
                                  followed_,
                                  connections_,
                                  answers_},
      listener_{
          self_,
          {budgets_, claims_, shares_, loads_, appender_, state_, answers_, burn_, log_, metrics_}},
      router_{gateway_}, sampler_{metrics_,
                                  {dispatch_, budgets_, claims_, appender_, replayer_, status_,
                                   events_, log_}} {}

host::~host() {
  drain();
}

void host::use_datagram_keys(const std::vector<datagram_key>& keys) {
  membership_seal_.use_keys(keys);
  peers_.use_datagram_keys(keys);
}

void host::start() {
  started_ = time_.now();
  use_datagram_keys(datagram_keys_of(settings_));
  peer_server_ =
      std::make_unique<peer_server>(settings_.listen.peers.str(), listener_, peer_credentials_);
  membership_ = std::make_unique<membership_service>(
      self_, settings_.data_centre, target_of(settings_.listen.peers), time_, membership_seal_,
      metrics_, [this](const membership_view& view) { on_view(view); });
  prometheus::Counter& bytes_in = metrics_.counter_at(metric::peer_bytes, {"in"});
  prometheus::Counter& bytes_out = metrics_.counter_at(metric::peer_bytes, {"out"});
  membership_->share_socket(control_mark, [this, &bytes_in](std::string_view datagram) {
    bytes_in.Increment(static_cast<double>(datagram.size() + datagram_headers));
    peers_.on_datagram(datagram);
  });
  peers_.use_datagrams(
      {[this, &bytes_out](const std::string& address, const std::string& datagram) {
         bytes_out.Increment(static_cast<double>(datagram.size() + datagram_headers));
         membership_->send(address, datagram);
       },
       [this](const wire::envelope& message) { listener_.on_envelope(message); }});
  appender_.start();
  membership_->start();
  replayer_.start();
  loads_.start();
  start_loops();
  admin_ = std::make_unique<admin_router>(admin_context{
      settings_, self_, time_, documents_, budgets_, claims_, dispatch_, orders_, appender_,
      replayer_, status_, events_, burn_, metrics_, peers_, [this] { return membership_->view(); },
      [this] { return dispatch_.entry_hosts(); }, [this] { request_stop(); }});
  operators_ = listen(
      settings_.listen.admin, [this](caller_exchange& exchange) { admin_->serve(exchange); },
      credentials_.admin());
  callers_ = listen(
      settings_.listen.callers, [this](caller_exchange& exchange) { router_.serve(exchange); },
      credentials_.callers());
  log_.write(severity::info, "started", {}, {{log_field::address, settings_.listen.callers.str()}});
}

std::unique_ptr<http_server> host::listen(const address& at, http_server::request_handler handle,
                                          std::shared_ptr<const listener_credentials> credentials) {
  http_server_options options;
  options.credentials = std::move(credentials);
  options.most_connections = static_cast<std::size_t>(settings_.limits.connections);
  options.header_timeout = settings_.timeouts.caller_header;
  options.write_timeout = settings_.timeouts.caller_write;
  options.arriving_bytes = static_cast<std::size_t>(settings_.limits.arriving_bytes);
  options.stall = settings_.timeouts.caller_stall;
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress{at.ip, at.port}, true);
  // Inherited by connections, also by those that have not been accepted; the kernel doubles it.
  socket.setReceiveBufferSize(static_cast<int>(settings_.limits.receive_buffer_bytes / 2));
  socket.listen(accept_backlog);
  auto server = std::make_unique<http_server>(std::move(handle), options, socket, time_);
  server->start();
  return server;
}

void host::wait_for_stop() {
  std::unique_lock lock{stop_mutex_};
  stop_wanted_.wait(lock, [this] { return stop_requested_; });
}

void host::request_stop() {
  {
    const std::scoped_lock lock{stop_mutex_};
    stop_requested_ = true;
  }
  stop_wanted_.notify_all();
}

void host::on_view(const membership_view& view) {
  std::vector<peer_address> addresses;
  for (const member& one : view.members)
    if (one.who != self_)
      addresses.push_back({one.who, one.address});
  peers_.set_peers(addresses);
  appender_.on_view(view);
  replayer_.on_view(view);
  loads_.on_view(view);
  shares_.on_view(view);
  orders_.on_view(view);
  claims_.on_view(view);
  budgets_.on_view(view);
}

void host::start_loops() {
  every(settings_.platform.host_list_interval, [this] { poll_host_list(); });
  every(dispatch_tick, [this] {
    dispatch_.tick();
    shares_.send_news();
  });
  every(control_tick, [this] {
    budgets_.tick();
    claims_.tick();
  });
  every(review_tick, [this] { orders_.tick(); });
  every(review_tick, [this] {
    dispatch_.review();
    shares_.exchange();
    update_readiness();
    sampler_.sample(membership_->view(), self_);
    sample_callers();
    credentials_.look_when_due(time_.now());
  });
}

void host::every(time_ms interval, std::function<void()> step) {
  loops_.emplace_back([this, interval, step = std::move(step)] {
    while (!stopping_) {
      try {
        step();
      } catch (const std::exception& failure) {
        status_.note_internal_error(failure.what());
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{interval.count()});
    }
  });
}

void host::sample_callers() {
  if (!callers_)
    return;
  const unfinished_requests& unfinished = callers_->unfinished();
  metrics_.set(metric::held_bytes, {"bodies"}, static_cast<double>(unfinished.held()));
  const std::uint64_t evicted = unfinished.evicted();
  metrics_.add(metric::evicted_connections, {},
               static_cast<double>(evicted - std::exchange(evicted_, evicted)));
}

void host::poll_host_list() {
  http_host_list_client client{target_of(settings_.platform.host_list), settings_.platform.timeout};
  try {
    const host_listing list = client.fetch();
    dispatch_.on_host_list(list);
    membership_->on_host_list(list);
  } catch (const error& failure) {
    // Hosts and endpoints known so far go on being used.
    log_.write(severity::warning, "host_list_unreachable", {},
               {{log_field::reason, failure.what()}});
  }
  host_listing seeds;
  for (const address& seed : settings_.seeds)
    seeds.hosts.push_back({seed.str(), listed_kind::entry, {}, {}, seed.str(), {}, {}});
  if (!seeds.hosts.empty() && membership_->view().members.size() < 2)
    membership_->on_host_list(seeds);
}

void host::update_readiness() {
  const replay_status replay = replayer_.status();
  if (replay.diverged)
    return status_.set_not_ready("this host's state differs from a checkpoint");
  if (documents_.needs_newer_program())
    return status_.set_not_ready("a document needs a newer program");
  if (!replay.caught_up)
    return status_.set_not_ready("the log and all peers are out of reach, or replay goes on");
  if (!documents_.fleet())
    return status_.set_not_ready("no fleet settings were published yet");
  if (!keys_decided())
    return status_.set_not_ready("nobody decides for idempotency keys yet");
  status_.set_not_ready("");
}

// A fleet that just started has nobody who decides for keys; a keyed request would be told "outcome
// unknown" for nothing. Once that was settled, or if it cannot be (the log may be down), the host
// serves: most requests have no key.
bool host::keys_decided() {
  if (!keys_settled_) {
    const bool waited = time_.now() > started_ + key_settle_limit;
    keys_settled_ = waited || claims_.statistics().shards_without_holder == 0;
  }
  return keys_settled_;
}

// A balancer learns of a stop from its next health checks. What it sends until then would be
// refused, one caller after the other in each planned replacement. So the host serves on during the
// notice, and each answer ends its connection: the next request of that caller goes elsewhere.
void host::give_notice() {
  status_.announce_stop();
  if (!callers_)
    return;
  callers_->end_connections();
  std::this_thread::sleep_for(std::chrono::milliseconds{settings_.stop.notice.count()});
}

// Order matters: as long as requests run, their tokens and claims are needed here; and the other
// hosts must hear of the handed-over parts before this one is gone.
void host::drain() {
  if (draining_.exchange(true))
    return;
  log_.write(severity::info, "draining", {},
             {{log_field::count, static_cast<std::int64_t>(status_.inside())}});
  give_notice();
  status_.stop_entry();
  if (membership_)
    membership_->leave();
  status_.wait_until_empty();
  hand_over();
  if (callers_)
    callers_->stop_taking();
  if (operators_)
    operators_->stop_taking();
  stopping_ = true;
  for (std::thread& loop : loops_)
    loop.join();
  loads_.stop();
  replayer_.stop();
  if (membership_)
    membership_->stop();
  appender_.stop();
  peers_.stop_datagrams();
  if (peer_server_)
    peer_server_->stop();
  log_.write(severity::info, "stopped");
}

bool host::has_successor() {
  if (!membership_)
    return false;
  const membership_view view = membership_->view();
  return std::any_of(view.members.begin(), view.members.end(),
                     [this](const member& one) { return one.who != self_ && !one.leaving; });
}

void host::hand_over() {
  budgets_.drain();
  claims_.drain();
  const time_ms began = time_.now();
  // With every other host stopping as well there is nobody to take over; only the log is left to
  // hear what is given back. That shows only once the others' farewells have arrived.
  const auto limit = [this] { return has_successor() ? handover_limit : handover_limit_alone; };
  while (!(budgets_.drained() && claims_.drained()) && time_.now() < began + limit())
    std::this_thread::sleep_for(std::chrono::milliseconds{control_tick.count()});
  if (!budgets_.drained() || !claims_.drained())
    log_.write(severity::warning, "handover_unfinished", {},
               {{log_field::reason, "the log or the peers did not answer in time"}});
}

} // namespace sedgechute
