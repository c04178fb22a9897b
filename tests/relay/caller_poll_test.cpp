#include "relay_fixture.hpp"
#include "silent_address.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <list>
#include <thread>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

std::size_t threads() {
  std::size_t count = 0;
  for (const auto& task : std::filesystem::directory_iterator{"/proc/self/task"})
    count += task.is_directory() ? 1 : 0;
  return count;
}

scripted_reply answer_at_once(const scripted_endpoint::seen_request& request) {
  return {whole_answer(*request.head.fields.find("Attempt-Id"), "x"), then::keep, ""};
}

} // namespace

// With one thread per connection a host of 88 MB of memory held the stacks of hundreds of threads
// for idle callers.
TEST_CASE("idle connections use no thread") {
  scripted_endpoint endpoint{answer_at_once};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::size_t before = threads();
  std::list<raw_caller> callers;
  for (int i = 0; i < 150; ++i) {
    callers.emplace_back(at.address());
    callers.back().send(request_text("/unsafe/", "id-" + std::to_string(i), "", "POST"));
    CHECK(status_of(callers.back().read_all(time_ms{0}, time_ms{3000})) == 200);
  }
  CHECK(at.frontend().connections() == 150);
  CHECK(threads() <= before + 20);
  for (raw_caller& one : callers) { // each connection still works
    one.send(request_text("/unsafe/", "again", "", "POST"));
    CHECK(status_of(one.read_all(time_ms{0}, time_ms{3000})) == 200);
  }
}

TEST_CASE("a request in several pieces and two pipelined requests are served") {
  scripted_endpoint endpoint{answer_at_once};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  const std::string text = request_text("/unsafe/", "id-1", "", "POST", "body");
  caller.send(text.substr(0, 9));
  std::this_thread::sleep_for(std::chrono::milliseconds{50});
  caller.send(text.substr(9));
  CHECK(status_of(caller.read_all()) == 200);
  caller.send(request_text("/unsafe/", "id-2", "", "POST") +
              request_text("/unsafe/", "id-3", "", "POST"));
  const std::string both = caller.read_all();
  CHECK(both.find("Attempt-Id: id-2") != std::string::npos);
  CHECK(both.find("Attempt-Id: id-3") != std::string::npos);
}

// Requests accumulate before they are sent, here because the endpoint accepts no connection. Those
// beyond the limit are refused at once by their header, and their connection is kept.
TEST_CASE("a host at its limit of requests in preparation refuses more at once") {
  silent_address silent;
  relay_fixture at{1000000, {.connect_timeout = time_ms{3000}, .max_preparing = 2}};
  at.add_endpoint("e1", silent.address());
  std::list<raw_caller> first;
  for (int i = 0; i < 2; ++i) {
    first.emplace_back(at.address());
    first.back().send(request_text("/unsafe/", "first-" + std::to_string(i), "", "POST"));
  }
  REQUIRE(at.has_open(2));
  raw_caller late{at.address()};
  for (int i = 0; i < 3; ++i) {
    const std::string id = "late-" + std::to_string(i);
    const std::string text = request_text("/unsafe/", id, "", "POST", "some body");
    late.send(text.substr(0, text.size() - 4));
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    late.send(text.substr(text.size() - 4));
    const std::string refused = late.read_all(time_ms{0}, time_ms{1000});
    CHECK(status_of(refused) == 503);
    CHECK(refused.find("Attempt-Id: " + id) != std::string::npos);
    CHECK(refused.find("Retry-After: 0.05") != std::string::npos);
    CHECK(refused.find("Connection: close") == std::string::npos);
  }
  CHECK(at.relay().open() == 2);
}

// A caller sends part of a request and stops. A busy host must still close the connection.
TEST_CASE("an incomplete request is refused at the header timeout") {
  relay_fixture at;
  at.set_busy(true);
  raw_caller caller{at.address()};
  caller.send("GET /unsafe/ HTTP/1.1\r\nHost:");
  const std::string answer = caller.read_all(time_ms{100}, time_ms{8000});
  CHECK(status_of(answer) == 408);
}
