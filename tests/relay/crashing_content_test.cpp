// End-to-end tests with requests that crash the endpoints that run them.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr int endpoint_count = 8;
constexpr int endpoints_to_lose = 3; // after which a request is refused
const std::string poison = "poison";

scripted_reply crash_on_poison(const scripted_endpoint::seen_request& request) {
  if (request.body == poison)
    return {"", then::crash, ""};
  return {whole_answer(attempt_of(request), "ok"), then::keep, ""};
}

/// One host and endpoints that crash on one body.
struct crashing_fleet {
  crashing_fleet() {
    for (int i = 0; i < endpoint_count; ++i) {
      endpoints.push_back(std::make_unique<scripted_endpoint>(crash_on_poison));
      host.add_endpoint("e" + std::to_string(i), endpoints.back()->address());
    }
    prober.start();
  }

  /// \returns the status of one request, after the time that a caller needs to come again
  int call(const std::string& body, const std::string& path = "/unsafe/") {
    const int status =
        status_of(host.call(path, "id-" + std::to_string(++calls), "", "POST", body));
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    return status;
  }

  [[nodiscard]] auto crashed() const {
    return std::ranges::count_if(endpoints, [](const auto& one) { return one->crashed(); });
  }

  std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
  relay_fixture host;
  header_dialect dialect;
  steady_clock time;
  structured_log log{{.host = "crashing-content-test", .file = "/dev/null"}};
  endpoint_prober prober{host.endpoints(), dialect, time_ms{300}, time, log};
  int calls{0};
};

} // namespace

// A caller repeated a request that crashes each endpoint that runs it, and was sent on every time.
TEST_CASE("a request that has crashed three endpoints is sent to no other") {
  crashing_fleet fleet;
  for (int i = 0; i < endpoints_to_lose; ++i)
    CHECK(fleet.call(poison) == 502);
  CHECK(fleet.crashed() == endpoints_to_lose);
  for (int i = 0; i < 3; ++i)
    CHECK(fleet.call(poison) == 503);
  CHECK(fleet.crashed() == endpoints_to_lose);
  CHECK(fleet.call("innocent") == 200);
}

namespace {

config_ptr two_services_config() {
  auto config = std::make_shared<fleet_config>();
  config->version = 3;
  config->limits.header_bytes = 4096;
  config->limits.body_bytes = 10000;
  config->limits.header_timeout = time_ms{300};
  config->limits.idle_timeout = time_ms{700};
  const auto add = [&](const std::string& prefix, request_kind kind, const std::string& service) {
    route made;
    made.name = prefix;
    made.host = "f.example";
    made.prefix = "/" + prefix + "/";
    made.kind = kind;
    made.timeout = time_ms{1500};
    made.latency_target = time_ms{300};
    made.max_attempts = 2;
    made.services = {{service, 1}};
    config->add_route(made);
  };
  add("lookup", request_kind::safe, "small");
  add("confirm", request_kind::unsafe, "small");
  add("other", request_kind::safe, "s");
  config->add_service({"small", 0, 8, 0, 1});
  config->add_service({"s", 0, 8, 0, 1});
  return config;
}

/// A small service whose endpoints all die at once, beside another service that stays up.
struct small_service {
  static constexpr int small_endpoints = 3;

  small_service() {
    for (int i = 0; i < endpoint_count; ++i) {
      others.push_back(std::make_unique<scripted_endpoint>(answers("ok")));
      host.add_endpoint("other-" + std::to_string(i), others.back()->address());
    }
    for (int i = 0; i < small_endpoints; ++i) {
      small.push_back(std::make_unique<scripted_endpoint>(script()));
      addresses.push_back(small.back()->address());
    }
    list_small();
    prober.start();
  }

  scripted_endpoint::script script() {
    return [this](const scripted_endpoint::seen_request& request) -> scripted_reply {
      if (!request.body.starts_with(poison))
        return {whole_answer(attempt_of(request), "ok"), then::keep, ""};
      const std::scoped_lock lock{mutex};
      ++runs[request.body];
      return {"", then::crash, ""};
    };
  }

  void list_small() {
    ++starts;
    for (std::size_t i = 0; i < small.size(); ++i)
      host.add_endpoint("small-" + std::to_string(i), addresses[i], time_ms{starts}, "small");
  }

  /// \brief Starts all endpoints that have crashed, under the same ids and at the same addresses.
  void restart_crashed() {
    bool any = false;
    for (std::size_t i = 0; i < small.size(); ++i) {
      if (!small[i]->crashed())
        continue;
      any = true;
      small[i].reset();
      small[i] = std::make_unique<scripted_endpoint>(script(), addresses[i]);
    }
    if (any)
      list_small();
  }

  int call(const std::string& path, const std::string& body) {
    return status_of(host.call(path, "id-" + std::to_string(++calls), "", "POST", body));
  }

  int runs_of(const std::string& body) {
    const std::scoped_lock lock{mutex};
    return runs[body];
  }

  std::mutex mutex;
  std::map<std::string, int> runs;
  std::int64_t starts{0};
  std::vector<std::unique_ptr<scripted_endpoint>> others;
  std::vector<std::unique_ptr<scripted_endpoint>> small;
  std::vector<std::string> addresses; ///< of `small`
  relay_fixture host{1000000, {}, two_services_config()};
  header_dialect dialect;
  steady_clock time;
  structured_log log{{.host = "small-service-test", .file = "/dev/null"}};
  endpoint_prober prober{host.endpoints(), dialect, time_ms{300}, time, log};
  std::atomic<int> calls{0};
};

} // namespace

// Two contents together end all three endpoints of a service at once, which are back under the same
// ids; the contents were sent on to them again and again.
TEST_CASE("requests that end all endpoints of a small service at once, again and again, are held "
          "back") {
  constexpr int rounds = 6;
  constexpr int more_runs = 3; // beyond those that crashed three endpoints
  small_service fleet;
  for (int round = 0; round < rounds; ++round) {
    std::vector<std::thread> callers;
    for (const auto& [path, body] :
         {std::pair{"/lookup/", poison + "-a"}, std::pair{"/confirm/", poison + "-b"},
          std::pair{"/lookup/", poison + "-a"}})
      callers.emplace_back([&fleet, path = std::string{path}, body = body] {
        (void)fleet.call(path, body);
        (void)fleet.call("/other/", "harmless");
      });
    for (std::thread& one : callers)
      one.join();
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    fleet.restart_crashed();
    std::this_thread::sleep_for(std::chrono::milliseconds{800});
  }
  CHECK(fleet.runs_of(poison + "-a") >= endpoints_to_lose);
  CHECK(fleet.runs_of(poison + "-a") <= endpoints_to_lose + more_runs);
  CHECK(fleet.runs_of(poison + "-b") <= endpoints_to_lose + more_runs);
  CHECK(fleet.call("/lookup/", "harmless") == 200);
}
