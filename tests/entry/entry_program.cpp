#include "entry_program.hpp"

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace sedgechute {

namespace {

constexpr std::string_view first_version = R"({"Version":2,"Routes":[)";
constexpr std::string_view usual_configuration =
    R"({"Name":"safe","Hostname":"f","PathPrefix":"/safe/","Type":"safe","TimeoutMs":2000,)"
    R"("LatencyTargetMs":200,"MaxAttempts":2,"Service":"s"},)"
    R"({"Name":"unsafe","Hostname":"f","PathPrefix":"/unsafe/","Type":"unsafe",)"
    R"("TimeoutMs":2000,"LatencyTargetMs":200,"MaxAttempts":2,"Service":"s"},)"
    R"({"Name":"once","Hostname":"f","PathPrefix":"/once/","Type":"streaming","TimeoutMs":9000,)"
    R"("LatencyTargetMs":200,"InterTokenMs":3000,"MaxAttempts":1,"Service":"s"},)"
    R"({"Name":"stream","Hostname":"f","PathPrefix":"/stream/","Type":"streaming",)"
    R"("TimeoutMs":9000,"LatencyTargetMs":200,"InterTokenMs":3000,"MaxAttempts":2,)"
    R"("Resumable":true,"Service":"s"}],"Services":[{"Name":"s","MaxConnections":900,)"
    R"("Runtime":{"Slots":16,"KvCapacityTokens":90000,"Stride":5}}],)"
    R"("Tenants":[{"Name":"t","ApiKeys":["k"],"Prepaid":1000000}]})";

constexpr int smallest_pipe = 4096; // bytes; filled by some ten lines

std::string loopback() {
  return "127.0.0.1:" + std::to_string(fleet_test::free_port());
}

/// \returns the status of the answer, or 0, and the answer's bytes
std::pair<int, std::string> exchange(const std::string& address, const std::string& request,
                                     time_ms most) {
  const steady_clock time;
  const time_ms until = time.now() + most;
  const auto link = connect_to(address, time_ms{1000}, time).link;
  std::string text;
  if (!link || link->write_all(request, until) != io_status::ok ||
      link->read_head(text, 8192, until) != io_status::ok)
    return {};
  const auto head = parse_response_head(text);
  const auto length = head->fields.number("Content-Length");
  const auto whole = [&] {
    return length ? link->buffered().size() >= *length : link->buffered().ends_with("0\r\n\r\n");
  };
  while (!whole() && link->fill(until) == io_status::ok) {
  }
  return {head->status, std::string{link->buffered()}};
}

} // namespace

entry_program::entry_program(const std::string& settings, log_reader reader,
                             const std::string& configuration, const std::string& known_host)
    : folder_{Poco::TemporaryFile::tempName()}, callers_{loopback()}, peers_{loopback()},
      status_{loopback()}, store_{standin::topic_store_options{}} {
  Poco::File{folder_}.createDirectories();
  store_.put("keyed.op", "config",
             configuration.empty() ? std::string{first_version}.append(usual_configuration)
                                   : configuration);
  if (!known_host.empty())
    store_.put("keyed.hosts", "known", known_host + " dc");
  std::ofstream file{folder_ + "/settings.json"};
  file << R"({"host":"h0","data_centre":"dc","callers":")" << callers_ << R"(","peers":")" << peers_
       << R"(","status":")" << status_ << R"(","store":")" << store_.server().address().toString()
       << R"(","retry_ratio":0.2,"retry_slack":50,"retry_window_s":10,)" << settings << "}";
  file.close();
  if (reader == log_reader::never_reads) {
    REQUIRE(::mkfifo(printed().c_str(), S_IRUSR | S_IWUSR) == 0);
    unread_ = ::open(printed().c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    REQUIRE(::fcntl(unread_, F_SETPIPE_SZ, smallest_pipe) > 0);
  }
  start();
}

entry_program::~entry_program() {
  program_.reset();
  if (unread_ >= 0)
    ::close(unread_);
  Poco::File{folder_}.remove(true);
}

std::string entry_program::with_route(std::uint64_t version, const std::string& name) {
  const std::string added =
      R"({"Name":")" + name + R"(","Hostname":"f","PathPrefix":"/)" + name +
      R"(/","Type":"safe","TimeoutMs":2000,"LatencyTargetMs":200,"Service":"s"},)";
  return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[)" + added +
         std::string{usual_configuration};
}

void entry_program::add_endpoint(const std::string& id, const std::string& address,
                                 std::optional<std::int64_t> started) {
  store_.put("keyed.servers", id,
             R"({"Service":"s","Address":")" + address +
                 R"(","Zone":"dc","Version":"v1","Slots":16,"State":"ready",)" +
                 (started ? R"("born":)" + std::to_string(*started) + "," : std::string{}) +
                 R"("ColdRemainingMs":0,"Sequence":1})");
}

bool entry_program::ready_now() const {
  return look_at("/readyz").first == 200;
}

std::pair<int, std::string> entry_program::look_at(const std::string& path) const {
  return exchange(status_, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n", time_ms{10000});
}

std::pair<int, std::string> entry_program::ask(const std::string& route,
                                               const std::string& attempt) const {
  return exchange(callers_, entry_request(route, attempt), time_ms{9000});
}

bool entry_program::ready() const {
  const steady_clock time;
  const time_ms until = time.now() + time_ms{10000};
  while (time.now() < until) {
    if (ready_now())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  return false;
}

void entry_program::hang_settings() const {
  const std::string file = folder_ + "/settings.json";
  Poco::File{file}.remove();
  REQUIRE(::mkfifo(file.c_str(), S_IRUSR | S_IWUSR) == 0); // without a writer an open waits
}

void entry_program::restart() {
  program_.reset();
  ++starts_;
  start();
}

void entry_program::start() {
  program_ = std::make_unique<fleet_test::process>(
      std::string{SEDGECHUTE_PROGRAMS} + "/sedgechute-entry",
      std::vector<std::string>{"--settings", folder_ + "/settings.json"}, printed());
}

std::string entry_program::printed() const {
  return folder_ + "/output" + (starts_ > 0 ? std::to_string(starts_) : std::string{});
}

std::string entry_program::output() const {
  std::ifstream file{printed()};
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string entry_request(const std::string& route, const std::string& attempt) {
  const bool streamed = route == "once" || route == "stream";
  std::string text = "POST /" + route + "/ HTTP/1.1\r\nHost: f\r\nAttempt-Id: " + attempt +
                     "\r\nAuthorization: Token k\r\nDeadline-Ms: 8000\r\n";
  if (streamed)
    text += "Model: m\r\nToken-Usage: 300,60\r\nPrefix-Hash: p:200,own:100\r\n";
  return text + "Content-Length: 4\r\n\r\nbody";
}

} // namespace sedgechute
