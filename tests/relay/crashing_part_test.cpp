// End-to-end tests with prompts of which one part crashes the endpoints that begin to answer it.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr int endpoint_count = 12;
constexpr int requests = 10;
constexpr int endpoints_to_lose = 5; // after which requests with the part are refused
constexpr int late_sends = 3;

std::string prompt_field(const std::string& parts) {
  return "Model: m\r\nToken-Usage: 100,10\r\nPrefix-Hash: " + parts + "\r\n";
}

/// One host and its endpoints, which all follow one script.
struct scripted_fleet {
  explicit scripted_fleet(const scripted_endpoint::script& script) {
    for (int i = 0; i < endpoint_count; ++i) {
      endpoints.push_back(std::make_unique<scripted_endpoint>(script));
      host.add_endpoint("e" + std::to_string(i), endpoints.back()->address());
    }
    prober.start();
  }

  /// \returns the status of one request, none of which is like another
  int call(const std::string& leading_parts) {
    const std::string number = std::to_string(++calls);
    return status_of(host.call("/unsafe/", "id-" + number,
                               prompt_field(leading_parts + ",ff" + number + ":30"), "POST",
                               "body " + number));
  }

  [[nodiscard]] auto crashed() const {
    return std::ranges::count_if(endpoints, [](const auto& one) { return one->crashed(); });
  }

  std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
  relay_fixture host;
  header_dialect dialect;
  steady_clock time;
  structured_log log{{.host = "crashing-part-test", .file = "/dev/null"}};
  endpoint_prober prober{host.endpoints(), dialect, time_ms{300}, time, log};
  int calls{0};
};

scripted_reply crash_on_part(const scripted_endpoint::seen_request& request) {
  const std::string* parts = request.head.fields.find("Prefix-Hash");
  if (parts != nullptr && parts->find("bad7") != std::string::npos)
    return {"", then::crash, ""};
  return {whole_answer(attempt_of(request), "ok"), then::keep, ""};
}

void pause_between_calls() {
  std::this_thread::sleep_for(std::chrono::milliseconds{500});
}

} // namespace

// Requests that share one part of their prompt, no two alike, ended endpoint after endpoint.
TEST_CASE("requests with a part that has crashed five endpoints are sent to no other") {
  scripted_fleet fleet{crash_on_part};
  for (int i = 0; i < requests; ++i) {
    (void)fleet.call("aa01:40,bad7:30");
    pause_between_calls();
    CHECK(fleet.call("aa01:40,cc02:30") == 200);
  }
  CHECK(fleet.crashed() <= endpoints_to_lose + late_sends);
  CHECK(fleet.call("aa01:40,bad7:30") == 503);
  CHECK(fleet.call("aa01:40,dd03:30") == 200);
}

// Guards against a verdict that nobody finds to be wrong, or to hold no longer.
TEST_CASE("requests with a part that no longer crashes endpoints are served again after a trial") {
  std::atomic<bool> repaired{false};
  scripted_fleet fleet{[&](const scripted_endpoint::seen_request& request) {
    if (!repaired)
      return crash_on_part(request);
    return scripted_reply{whole_answer(attempt_of(request), "ok"), then::keep, ""};
  }};
  CHECK(fleet.call("aa01:40,cc02:30") == 200);
  for (int i = 0; i < endpoints_to_lose; ++i) {
    (void)fleet.call("aa01:40,bad7:30");
    pause_between_calls();
  }
  repaired = true;
  REQUIRE(fleet.crashed() == endpoints_to_lose);
  int status = 0;
  for (int i = 0; i < 40 && status != 200; ++i) {
    pause_between_calls();
    status = fleet.call("aa01:40,bad7:30");
  }
  CHECK(status == 200);
  CHECK(fleet.host.figures().counter_at(metric::part_trials, {}).Value() == 1);
  CHECK(fleet.call("aa01:40,bad7:30") == 200);
}

// An answer without a length ends with its connection, and so does one that a crash cuts short.
TEST_CASE("a request whose unframed answers end with their endpoints is held back") {
  const auto crash_after_answer = [](const scripted_endpoint::seen_request& request) {
    if (request.body != "poison")
      return scripted_reply{whole_answer(attempt_of(request), "ok"), then::keep, ""};
    return scripted_reply{"HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt_of(request) +
                              "\r\nResponse-Signature: mark\r\n\r\npart of an answer",
                          then::leave, ""};
  };
  scripted_fleet fleet{crash_after_answer};
  for (int i = 0; i < requests; ++i) {
    (void)fleet.host.call("/unsafe/", "poison-" + std::to_string(i), "", "POST", "poison");
    pause_between_calls();
    CHECK(fleet.call("aa01:40") == 200);
  }
  CHECK(fleet.crashed() <= endpoints_to_lose);
}
