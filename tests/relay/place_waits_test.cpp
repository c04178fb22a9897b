// Requests of different priorities wait at the host while the endpoints of a service are full.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace sedgechute;

namespace {

config_ptr two_priorities() {
  auto config = std::make_shared<fleet_config>(*fixture_config({}));
  route made = *config->find_route("f.example", "/safe/");
  made.timeout = time_ms{20000};
  made.latency_target = time_ms{80000}; // no free place is seen while the test fills the endpoint
  for (const auto& [name, priority] : {std::pair{"high", 0}, std::pair{"low", 2}}) {
    made.name = name;
    made.prefix = "/" + made.name + "/";
    made.priority = priority;
    config->add_route(made);
  }
  return config;
}

/// A host with one endpoint of one slot, which answers as many requests as the test allows. Its
/// load reports stay young.
class full_endpoint {
 public:
  full_endpoint() : at{1000000, {}, two_priorities()} {
    at.endpoints().put({endpoint_id{"e1"}, "s", endpoint_.address(), data_centre_id{"dc"}, 1});
    auto place = at.endpoints().place({"s"});
    at.endpoints().note_load(*place, {0, 0, 1, 100});
    at.endpoints().release(*place, send_outcome::withheld, false);
    reporter_ = std::thread{[this, place] {
      while (!ended_) {
        at.endpoints().note_load(*place, {0, 0, 1, 100});
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
      }
    }};
    for (raw_caller* const caller : {&first, &second})
      caller->send(text("/high/", caller == &first ? "first" : "second"));
    filled = holds([this] { return endpoint_.seen().size() == 2; }); // one runs, one is queued
  }
  full_endpoint(const full_endpoint&) = delete;
  full_endpoint& operator=(const full_endpoint&) = delete;
  ~full_endpoint() {
    allowed = 100;
    ended_ = true;
    reporter_.join();
  }

  static std::string text(const std::string& path, const std::string& attempt) {
    return request_text(path, attempt, "", "GET", "", time_ms{20000});
  }
  template <typename Predicate>
  static bool holds(const Predicate& expected) {
    for (int i = 0; i < 2000 && !expected(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    return expected();
  }
  bool waiting(int count) {
    return holds([&] {
      const std::string page = at.figures().text();
      const auto begin = page.find("\nsedgechute_waiting_for_place{");
      if (begin == std::string::npos)
        return count == 0;
      const std::string line = page.substr(begin + 1, page.find('\n', begin + 1) - begin - 1);
      return line.substr(line.rfind(' ') + 1) == std::to_string(count);
    });
  }
  bool seen(const std::string& attempt) const {
    return std::ranges::any_of(endpoint_.seen(),
                               [&](const auto& request) { return attempt_of(request) == attempt; });
  }

  std::atomic<int> allowed{0}; ///< answers
  bool filled{false};

 private:
  std::atomic<bool> ended_{false};
  std::thread reporter_;
  std::atomic<int> number_{0};
  scripted_endpoint endpoint_{[this](const scripted_endpoint::seen_request& request) {
    scripted_reply reply;
    reply.later = whole_answer(attempt_of(request), "x");
    reply.may_go_on = [this, number = ++number_] { return allowed >= number; };
    return reply;
  }};

 public:
  relay_fixture at;
  raw_caller first{at.address()};
  raw_caller second{at.address()};
};

} // namespace

// Guards against the order of arrival in the endpoint's own queue deciding who goes first.
TEST_CASE("of the requests that wait for a place the more urgent one goes first") {
  full_endpoint to;
  REQUIRE(to.filled);
  raw_caller low{to.at.address()};
  low.send(full_endpoint::text("/low/", "low"));
  REQUIRE(to.waiting(1));
  raw_caller high{to.at.address()};
  high.send(full_endpoint::text("/high/", "high"));
  REQUIRE(to.waiting(2));
  to.allowed = 1;
  REQUIRE(full_endpoint::holds([&] { return to.seen("high"); }));
  CHECK_FALSE(to.seen("low"));
  CHECK(to.waiting(1));
  to.allowed = 100;
  CHECK(status_of(high.read_all(time_ms{100}, time_ms{10000})) == 200);
  CHECK(status_of(low.read_all(time_ms{100}, time_ms{10000})) == 200);
  CHECK(to.waiting(0));
}

// Guards against a request that waits until the host cuts it off, with its fate unknown.
TEST_CASE("a stop refuses the requests that wait for a place, as not executed") {
  full_endpoint to;
  REQUIRE(to.filled);
  raw_caller low{to.at.address()};
  low.send(full_endpoint::text("/low/", "low"));
  REQUIRE(to.waiting(1));
  to.at.relay().stop().begin();
  const std::string answer = low.read_all(time_ms{100}, time_ms{10000});
  CHECK(status_of(answer) == 503); // which promises that the request is never executed
  CHECK(answer.find("Retry-After") != std::string::npos);
  CHECK(to.waiting(0));
  to.allowed = 100;
  CHECK(status_of(to.first.read_all(time_ms{100}, time_ms{10000})) == 200);
  CHECK(status_of(to.second.read_all(time_ms{100}, time_ms{10000})) == 200);
  CHECK_FALSE(to.seen("low"));
}

// Guards against callers that have left holding places in the queue and at endpoints.
TEST_CASE("a caller who leaves while its request waits frees its place") {
  full_endpoint to;
  REQUIRE(to.filled);
  raw_caller low{to.at.address()};
  low.send(full_endpoint::text("/low/", "low"));
  REQUIRE(to.waiting(1));
  low.close();
  CHECK(to.waiting(0));
  raw_caller next{to.at.address()};
  next.send(full_endpoint::text("/low/", "next"));
  REQUIRE(to.waiting(1));
  to.allowed = 1;
  CHECK(full_endpoint::holds([&] { return to.seen("next"); }));
  CHECK_FALSE(to.seen("low"));
}
