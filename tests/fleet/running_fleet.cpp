#include "running_fleet.hpp"

#include "config/config.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/StreamCopier.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace sedgechute::fleet_test {

namespace {

constexpr const char* programs = SEDGECHUTE_PROGRAMS;
constexpr const char* salt = "00112233445566778899aabbccddeeff";
constexpr const char* team_secret = "sk-team-00000000000000000000000000000001";
constexpr const char* operator_secret = "sk-oper-00000000000000000000000000000002";

std::string at(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string quoted(const std::string& text) {
  return Poco::toJSON(text);
}

std::string hashed(const char* secret) {
  const hashed_key key = hash_bearer_key(secret, salt);
  return R"({"id":")" + key.id + R"(","salt":")" + key.salt + R"(","sha256":")" + key.sha256 +
         "\"}";
}

void write(const std::filesystem::path& file, const std::string& text) {
  std::filesystem::create_directories(file.parent_path());
  std::ofstream{file} << text;
}

std::string entry(const std::string& name, const std::string& kind, std::uint16_t port,
                  const std::string& data_centre, const std::string& rest,
                  const std::string& state = "live") {
  return R"({"name":")" + name + R"(","kind":")" + kind + R"(","data_centre":")" + data_centre +
         R"(","address":")" + at(port) + R"(","state":")" + state + "\"" + rest + "}";
}

Poco::JSON::Object::Ptr parsed(const std::string& body) {
  Poco::JSON::Parser parser;
  return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
}

std::string fleet_text(const std::vector<std::string>& models, bool honours_fencing,
                       const std::string& drained = {}) {
  std::string listed;
  for (const std::string& model : models)
    listed += (listed.empty() ? "" : ",") + model;
  return R"({"schema":1,"data_centres":[{"name":"one","region":"r"},{"name":"two","region":"r"}],"pools":[{"name":"lm","kind":"engine","honours_fencing":)" +
         std::string{honours_fencing ? "true" : "false"} + R"(,"models":[)" + listed +
         R"(]},{"name":"orders","kind":"service","non_idempotent_methods":["POST"],"tokens_per_call":5}],"drained_endpoints":[)" +
         drained + "]}";
}

running_fleet::answer
call_over_tls(const certificate_files& files, std::uint16_t port, const std::string& method,
              const std::string& path, const std::string& body,
              const std::vector<std::pair<std::string, std::string>>& headers) {
  using Poco::Net::Context;
  const Context::Ptr context{new Context{Context::TLS_CLIENT_USE, files.key, files.certificate,
                                         files.authorities, Context::VERIFY_STRICT}};
  Poco::Net::HTTPSClientSession session{"127.0.0.1", port, context};
  Poco::Net::HTTPRequest request{method, path, "HTTP/1.1"};
  for (const auto& [name, value] : headers)
    request.set(name, value);
  if (!body.empty()) {
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
  }
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  running_fleet::answer got;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), got.body);
  got.status = response.getStatus();
  return got;
}

} // namespace

running_fleet::running_fleet(const fleet_shape& shape)
    : folder_{std::filesystem::temp_directory_path() /
              ("sedgechute-test-" + std::to_string(::getpid()) + "-" +
               std::to_string(free_port()))},
      tls_{shape.tls}, team_key_{team_secret}, operator_key_{operator_secret} {
  log_port_ = free_port();
  list_port_ = free_port();
  other_list_port_ = free_port();
  weights_port_ = free_port();
  service_port_ = free_port();
  for (int i = 0; i < shape.engines; ++i)
    engine_ports_.push_back(free_port());
  for (int i = 0; i < shape.hosts; ++i)
    addresses_.push_back({"h" + std::to_string(i), free_port(), free_port(), free_port(),
                          shape.partitioned && i >= shape.hosts / 2 ? "two" : "one"});
  write_files(shape);
  standins_ = std::make_unique<process>(std::string{programs} + "/sedgechute-standin",
                                        std::vector<std::string>{"fleet", "--example", folder_},
                                        folder_ / "standins.log");
  if (shape.partitioned)
    other_list_ = std::make_unique<process>(
        std::string{programs} + "/sedgechute-standin",
        std::vector<std::string>{"hosts", "--port", std::to_string(other_list_port_), "--file",
                                 folder_ / "other-hosts.json"},
        folder_ / "other-list.log");
  hosts_.resize(static_cast<std::size_t>(shape.hosts));
  for (int i = 0; i < shape.hosts; ++i)
    start_host(i);
  publish_all();
  for (int i = 0; i < shape.hosts; ++i)
    REQUIRE(wait_until_ready(i, 15000));
}

running_fleet::~running_fleet() {
  hosts_.clear();
  standins_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string running_fleet::list_of(const std::string& data_centre) const {
  std::string list;
  for (const host_addresses& host : addresses_)
    if (host.data_centre == data_centre)
      list += entry(host.name, "entry", host.callers, data_centre,
                    R"(,"peer_address":")" + at(host.peers) + "\"") +
              ",";
  for (std::size_t i = 0; i < engine_ports_.size(); ++i)
    list += engine_entry(static_cast<int>(i), "live") + ",";
  return list + entry("s0", "endpoint", service_port_, "one", R"(,"pool":"orders")");
}

std::string running_fleet::engine_entry(int engine, const std::string& state) const {
  return entry(engine_name(engine), "endpoint", engine_ports_.at(static_cast<std::size_t>(engine)),
               "one", R"(,"pool":"lm")", state);
}

void running_fleet::list_engine_as(int engine, const std::string& state) const {
  const std::string body = R"({"hosts":[)" + engine_entry(engine, state) + "]}";
  REQUIRE(call(list_port_, "PUT", "/v1/hosts", body, {}, {}, 2000).status == 200);
}

std::string running_fleet::tls_of(const tls_test::test_authority& authority,
                                  const std::string& name) const {
  const certificate_files files = authority.issue(name);
  const std::string own =
      R"({"certificate":")" + files.certificate + R"(","key":")" + files.key + "\"";
  const std::string mutual = own + R"(,"authorities":")" + files.authorities + "\"}";
  return R"(,"tls":{"peers":)" + mutual + R"(,"admin":)" + mutual + R"(,"callers":)" + own +
         R"(},"datagram_keys":")" + (folder_ / "datagram.keys").string() + "\"}";
}

void running_fleet::write_files(const fleet_shape& shape) {
  write(folder_ / "hosts.json",
        R"({"standins":{"log":")" + at(log_port_) + R"(","hosts":")" + at(list_port_) +
            R"(","weights":")" + at(weights_port_) +
            R"(","pools":{"lm":{"model":"m","max_running":32,"first_token_ms":20,"token_ms":)" +
            std::to_string(shape.token_ms) +
            R"(,"answer_tokens":100000},"orders":{"service":"orders","work_ms":5}}},"hosts":[)" +
            list_of("one") + "]}");
  write(folder_ / "other-hosts.json", R"({"hosts":[)" + list_of("two") + "]}");
  write(folder_ / "datagram.keys", std::string(64, '5') + "\n");
  const tls_test::test_authority authority{folder_ / "certificates"};
  operator_files_ = authority.issue("operator");
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const bool cut = std::find(shape.without_log.begin(), shape.without_log.end(),
                               static_cast<int>(i)) != shape.without_log.end();
    const host_addresses& host = addresses_[i];
    write(folder_ / (host.name + ".json"),
          R"({"schema":1,"name":")" + host.name + R"(","data_centre":")" + host.data_centre +
              R"(","listen":{"callers":")" + at(host.callers) + R"(","peers":")" + at(host.peers) +
              R"(","admin":")" + at(host.admin) + R"("},"platform":{"log":")" +
              at(cut ? free_port() : log_port_) + R"(","host_list":")" +
              at(host.data_centre == "two" ? other_list_port_ : list_port_) + R"(","weights":")" +
              at(weights_port_) + R"("},"stop":{"notice_ms":)" +
              std::to_string(shape.stop_notice_ms) + "}" +
              (shape.host_limits.empty() ? "" : R"(,"limits":)" + shape.host_limits) +
              R"(,"operators":[{"name":"op","right":"publish","key":)" + hashed(operator_secret) +
              "}]" + (shape.tls ? tls_of(authority, host.name) : "") + "}");
  }
}

void running_fleet::start_host(int number) {
  const std::string& name = addresses_[static_cast<std::size_t>(number)].name;
  hosts_[static_cast<std::size_t>(number)] =
      std::make_unique<process>(std::string{programs} + "/sedgechuted",
                                std::vector<std::string>{"--settings", folder_ / (name + ".json")},
                                folder_ / (name + ".log"));
}

std::string running_fleet::callers(int number) const {
  return at(addresses_.at(static_cast<std::size_t>(number)).callers);
}

std::string running_fleet::chat_head_lines() const {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + team_key_ +
         "\r\nContent-Type: application/json\r\n";
}

void running_fleet::restart(int number) {
  start_host(number);
}

std::string running_fleet::contract(long budget) const {
  return R"({"schema":1,"team":"team","top_ups":[{"id":"1","tokens":)" + std::to_string(budget) +
         R"(}],"keys":[)" + hashed(team_secret) +
         R"(],"share":100,"classes":[{"name":"chat","priority":1,"deadline_ms":20000}],"default_class":"chat","pools":["lm"],"services":["orders"]})";
}

int running_fleet::drain_engine(int host, int engine) const {
  const std::string body = fleet_text({chat_model}, false, quoted(engine_name(engine)));
  return publish_document(host, "documents/fleet/fleet", body, "drain").status;
}

void running_fleet::publish_all() const {
  const std::string body = R"({"record_id":"f1","replaces":0,"based_on":0,"body":)" +
                           quoted(fleet_text({chat_model}, false)) + "}";
  answer published;
  for (int i = 0; i < 100 && published.status != 200; ++i) {
    published = operate(0, "POST", "documents/fleet/fleet", body);
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
  REQUIRE_MESSAGE(published.status == 200, published.body);
  REQUIRE(publish(0, 0, "c1") == 200);
}

int running_fleet::publish(int host, long budget, const std::string& record_id) const {
  const long tokens = budget == 0 ? 1'000'000 : budget;
  return publish_document(host, "documents/contract/team", contract(tokens), record_id).status;
}

int running_fleet::publish_models(int host, const std::vector<std::string>& models,
                                  bool honours_fencing, const std::string& record_id) const {
  return publish_document(host, "documents/fleet/fleet", fleet_text(models, honours_fencing),
                          record_id)
      .status;
}

running_fleet::answer running_fleet::publish_document(int host, const std::string& path,
                                                      const std::string& body,
                                                      const std::string& record_id) const {
  const auto object = parsed(operate(host, "GET", path).body);
  const auto revision = object->optValue<Poco::UInt64>("revision", 0);
  const auto sequence = object->optValue<Poco::UInt64>("sequence", 0);
  return operate(host, "POST", path,
                 R"({"record_id":")" + record_id + R"(","replaces":)" + std::to_string(revision) +
                     R"(,"based_on":)" + std::to_string(sequence) + R"(,"body":)" + quoted(body) +
                     "}");
}

running_fleet::answer running_fleet::call(std::uint16_t port, const std::string& method,
                                          const std::string& path, const std::string& body,
                                          const std::string& bearer, const std::string& key,
                                          int most_ms) const {
  std::vector<std::pair<std::string, std::string>> headers;
  if (!bearer.empty())
    headers.emplace_back("Authorization", "Bearer " + bearer);
  if (!key.empty())
    headers.emplace_back("Idempotency-Key", key);
  try {
    if (tls_ && !bearer.empty())
      return call_over_tls(operator_files_, port, method, path, body, headers);
    const http_answer got =
        http_call({"127.0.0.1", port}, method, path, body, time_ms{most_ms}, headers);
    return {got.status, got.body};
  } catch (const Poco::Exception& failure) {
    return {0, failure.displayText()};
  }
}

running_fleet::answer running_fleet::ask(int host, const std::string& prompt, int tokens,
                                         bool stream, const std::string& key) const {
  const std::string body = R"({"model":"m","messages":[{"role":"user","content":)" +
                           quoted(prompt) + R"(}],"max_tokens":)" + std::to_string(tokens) +
                           (stream ? R"(,"stream":true})" : "}");
  return call(addresses_[static_cast<std::size_t>(host)].callers, "POST", "/v1/chat/completions",
              body, team_key_, key, 20000);
}

running_fleet::answer running_fleet::get(int host, const std::string& path) const {
  return call(addresses_[static_cast<std::size_t>(host)].callers, "GET", path, {}, team_key_, {},
              5000);
}

running_fleet::answer running_fleet::service(int host, const std::string& method,
                                             const std::string& path,
                                             const std::string& key) const {
  return call(addresses_[static_cast<std::size_t>(host)].callers, method, "/services/orders" + path,
              method == "POST" ? "{}" : "", team_key_, key, 10000);
}

running_fleet::answer running_fleet::operate(int host, const std::string& method,
                                             const std::string& path,
                                             const std::string& body) const {
  return call(addresses_[static_cast<std::size_t>(host)].admin, method, "/admin/v1/" + path, body,
              operator_key_, {}, 5000);
}

void running_fleet::fault_in_log(const std::string& json) const {
  REQUIRE(call(log_port_, "POST", "/admin/faults", json, {}, {}, 2000).status == 200);
}

void running_fleet::fault_in_weights(const std::string& json) const {
  REQUIRE(call(weights_port_, "POST", "/admin/faults", json, {}, {}, 2000).status == 200);
}

void running_fleet::fault_in_engine(int number, const std::string& json) const {
  const std::uint16_t port = engine_ports_.at(static_cast<std::size_t>(number));
  REQUIRE(call(port, "POST", "/admin/faults", json, {}, {}, 2000).status == 200);
}

Poco::JSON::Object::Ptr running_fleet::engine(int number, const std::string& path) const {
  const std::uint16_t port = engine_ports_.at(static_cast<std::size_t>(number));
  const answer got = call(port, "GET", path, {}, {}, {}, 2000);
  REQUIRE_MESSAGE(got.status == 200, got.body);
  return parsed(got.body);
}

void running_fleet::fault_in_engines(const std::string& json) const {
  for (std::size_t i = 0; i < engine_ports_.size(); ++i)
    fault_in_engine(static_cast<int>(i), json);
}

int running_fleet::runs_at(int engine) const {
  return runs_in(engine_ports_.at(static_cast<std::size_t>(engine)), "");
}

int running_fleet::crashes() const {
  int count = 0;
  for (std::size_t i = 0; i < engine_ports_.size(); ++i)
    count += engine(static_cast<int>(i), "/admin/stats")->getValue<int>("crashes");
  return count;
}

int running_fleet::runs(const std::string& prefix) const {
  int count = runs_in(service_port_, prefix);
  for (const std::uint16_t port : engine_ports_)
    count += runs_in(port, prefix);
  return count;
}

int running_fleet::runs_in(std::uint16_t port, const std::string& prefix) const {
  const auto stats = parsed(call(port, "GET", "/admin/stats", {}, {}, {}, 2000).body);
  const auto requests = stats->getObject("requests");
  if (!requests)
    return 0;
  int count = 0;
  for (const auto& [id, about] : *requests)
    if (id.rfind(prefix, 0) == 0)
      count += about.extract<Poco::JSON::Object::Ptr>()->getValue<int>("runs");
  return count;
}

bool running_fleet::wait_until_ready(int host, int most_ms) const {
  constexpr int step_ms = 50;
  for (int waited = 0; waited < most_ms; waited += step_ms) {
    if (get(host, "/readyz").status == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds{step_ms});
  }
  return false;
}

} // namespace sedgechute::fleet_test
