#include "relay_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace sedgechute {

namespace {

std::vector<std::unique_ptr<account_log>> one_log() {
  std::vector<std::unique_ptr<account_log>> logs;
  logs.push_back(std::make_unique<memory_account_log>());
  return logs;
}

} // namespace

config_ptr fixture_config(const fixture_terms& of) {
  auto config = std::make_shared<fleet_config>();
  config->version = of.version;
  config->keys_required = true;
  config->limits.header_bytes = 4096;
  config->limits.body_bytes = 10000;
  config->limits.header_timeout = time_ms{300};
  config->limits.idle_timeout = of.idle_timeout;
  const auto add = [&](const std::string& prefix, request_kind kind, bool resumable) {
    route made;
    made.name = prefix;
    made.host = "f.example";
    made.prefix = "/" + prefix + "/";
    made.kind = kind;
    made.timeout = of.timeout;
    made.latency_target = time_ms{150};
    made.longest_pause = time_ms{50};
    made.max_attempts = of.attempts;
    made.resumable = resumable;
    made.services = {{of.service, 1}};
    config->add_route(made);
  };
  add("safe", request_kind::safe, false);
  add("unsafe", request_kind::unsafe, false);
  add("stream", request_kind::stream, true);
  add("once", request_kind::stream, false);
  config->add_service({of.service, 100, 8, 100000, 5});
  config->add_team({team_id{"team-a"}, std::nullopt, of.prepaid}, {"key-a"});
  return config;
}

raw_caller::raw_caller(const std::string& address)
    : link_{connect_to(address, time_ms{1000}, time_).link} {}

void raw_caller::send(std::string_view bytes) {
  last_ = link_->write_all(bytes, time_.now() + time_ms{2000});
}

std::string raw_caller::read_all(time_ms quiet, time_ms first) {
  last_ = link_->fill(time_.now() + first);
  while (last_ == io_status::ok)
    last_ = link_->fill(time_.now() + quiet);
  std::string all{link_->buffered()};
  link_->consume(all.size());
  return all;
}

relay_fixture::relay_fixture(std::uint64_t prepaid, relay_options options, config_ptr config)
    : log_{{.host = "relay-test", .file = "/dev/null"}}, figures_{"relay-test"},
      endpoints_{data_centre_id{"dc"}, choice_weights{}, time_}, contents_{content_guard_options{},
                                                                           log_},
      config_{config ? std::move(config) : fixture_config({.prepaid = prepaid})},
      socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}} {
  endpoints_.on_loss([this](const endpoint_id& endpoint, endpoint_hash life, loss_source source) {
    contents_.note_lost(endpoint, life, source, time_.now());
  });
  budgets_ = std::make_unique<budget_manager>(host_identity{"relay-test", 1}, prepaid_options{},
                                              one_log(), machine_time_, faults_, log_);
  budgets_->set_prepaid({{"team-a", prepaid}});
  budgets_->start();
  for (int i = 0; i < 300 && budgets_->totals()["team-a"].slack == 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  if (options.retries.slack == 0)
    options.retries.slack = 1000;
  relay_ = std::make_unique<request_relay>(
      request_relay::parts{dialect_,
                           endpoints_,
                           contents_,
                           *budgets_,
                           time_,
                           log_,
                           figures_,
                           [this] { return in_force(); },
                           [] { return std::size_t{1}; },
                           {.sheds = [this] { return busy_.load(); },
                            .refused_fraction = [this] { return refused_fraction_.load(); },
                            .grouping = [this] { return grouping_.load(); }},
                           {},
                           {.record =
                                [this](const stream_record& begun) {
                                  const std::scoped_lock lock{builds_mutex_};
                                  builds_.note(begun, time_.now());
                                },
                            .find =
                                [this](stream_key stream) {
                                  const std::scoped_lock lock{builds_mutex_};
                                  return builds_.find(stream, time_.now());
                                },
                            .refresh_endpoints = [] { return true; }}},
      options);
  frontend_ = make_frontend(socket_, false);
}

std::unique_ptr<http_frontend> relay_fixture::make_frontend(const Poco::Net::ServerSocket& socket,
                                                            bool from_hosts) {
  http_frontend_options options;
  options.from_hosts = from_hosts;
  auto made = std::make_unique<http_frontend>(
      *relay_, dialect_, [this] { return in_force()->limits; }, options, socket, time_, log_);
  made->start();
  return made;
}

std::string relay_fixture::address_for_hosts() {
  if (!host_frontend_) {
    host_socket_ = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    host_frontend_ = make_frontend(host_socket_, true);
  }
  return host_socket_.address().toString();
}

void relay_fixture::set_config(config_ptr config) {
  const std::scoped_lock lock{config_mutex_};
  config_ = std::move(config);
}

config_ptr relay_fixture::in_force() const {
  const std::scoped_lock lock{config_mutex_};
  return config_;
}

void relay_fixture::add_endpoint(const std::string& id, const std::string& address,
                                 std::optional<time_ms> started, const std::string& service) {
  endpoints_.put({endpoint_id{id}, service, address, data_centre_id{"dc"}, 8, false, started});
}

bool relay_fixture::has_open(std::size_t requests) const {
  const time_ms until = time_.now() + time_ms{3000};
  while (relay_->open() != requests && time_.now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds{2});
  return relay_->open() == requests;
}

std::string relay_fixture::call(const std::string& path, const std::string& attempt,
                                const std::string& more_fields, const std::string& method,
                                const std::string& body) {
  raw_caller caller{address()};
  caller.send(request_text(path, attempt, more_fields, method, body));
  return caller.read_all();
}

std::string request_text(const std::string& path, const std::string& attempt,
                         const std::string& more_fields, const std::string& method,
                         const std::string& body, time_ms deadline) {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nHost: f.example\r\nAttempt-Id: " + attempt +
      "\r\nAuthorization: Token key-a\r\nDeadline-Ms: " + std::to_string(deadline.count()) +
      "\r\n" + more_fields;
  if (!body.empty())
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

int status_of(const std::string& answer) {
  const auto head = parse_response_head(answer.substr(0, answer.find("\r\n\r\n") + 4));
  return head ? head->status : 0;
}

} // namespace sedgechute
