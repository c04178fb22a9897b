// Endpoints that say in their answers that they leave.

#include "platform/platform.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

using then = scripted_reply::then;

constexpr time_ms drain{600};

scripted_endpoint::script leaving(int status = 200, const std::string& value = "1") {
  return [=](const auto& request) {
    std::string answer = whole_answer(attempt_of(request), "ok", status);
    answer.insert(answer.find("\r\n") + 2, "Server-Leaving: " + value + "\r\n");
    return scripted_reply{answer, then::keep, ""};
  };
}

void pause_for(time_ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span.count()});
}

/// \returns a reply's header as the endpoint's terms
reply_terms terms_of(const std::string& fields) {
  const auto head =
      parse_response_head("HTTP/1.1 200 OK\r\nResponse-Signature: m\r\n" + fields + "\r\n");
  REQUIRE(head);
  return header_dialect{}.read_reply(*head);
}

struct leaving_fixture {
  explicit leaving_fixture(const scripted_endpoint::script& script) : endpoint{script} {
    host.endpoints().set_drain_grace(drain);
    host.add_endpoint("e1", endpoint.address(), 1_s);
  }
  int call() { return status_of(host.call("/safe/", "id-" + std::to_string(++calls))); }

  scripted_endpoint endpoint;
  relay_fixture host;
  int calls{0};
};

} // namespace

// Requests went on to an endpoint that had said that it leaves, until the list said so.
TEST_CASE("an endpoint whose answer says that it leaves gets no more requests") {
  for (const int status : {200, 500}) {
    CAPTURE(status);
    leaving_fixture at{leaving(status)};
    while (at.endpoint.seen().empty())
      (void)at.call();
    scripted_endpoint other{answers("ok")};
    at.host.add_endpoint("e2", other.address(), 1_s);
    const std::size_t before = at.endpoint.seen().size();
    for (int i = 0; i < 10; ++i)
      CHECK(at.call() == 200);
    CHECK(at.endpoint.seen().size() == before);
  }
}

TEST_CASE(
    "an endpoint that leaves is used for the drain time where there is no other, then no more") {
  leaving_fixture at{leaving()};
  CHECK(at.call() == 200);
  CHECK(at.call() == 200);
  pause_for(drain);
  const std::size_t before = at.endpoint.seen().size();
  for (int i = 0; i < 3; ++i)
    CHECK(at.call() == 503);
  CHECK(at.endpoint.seen().size() == before);
}

TEST_CASE("the list does not undo what an endpoint's answer says, a new start does") {
  leaving_fixture at{leaving()};
  CHECK(at.call() == 200);
  for (const bool draining : {false, true, false})
    at.host.endpoints().put(
        {endpoint_id{"e1"}, "s", at.endpoint.address(), data_centre_id{"dc"}, 8, draining, 1_s});
  pause_for(drain);
  CHECK(at.call() == 503);
  at.host.endpoints().put(
      {endpoint_id{"e1"}, "s", at.endpoint.address(), data_centre_id{"dc"}, 8, false, 2_s});
  CHECK(at.call() == 200);
}

// Guards against quarantines of what runs on endpoints that leave.
TEST_CASE("an endpoint that has said that it leaves is not lost when the list drops it") {
  const steady_clock time;
  endpoint_directory directory{data_centre_id{"dc"}, choice_weights{}, time};
  int lost = 0;
  directory.on_loss([&](const auto&...) { ++lost; });
  directory.set_drain_grace(drain);
  for (const char* id : {"e1", "e2"})
    directory.put({endpoint_id{id}, "s", std::string{id} + ":1", data_centre_id{"dc"}, 8});
  const auto place = directory.place({"s"});
  REQUIRE(place);
  directory.note_says_leaving(*place);
  directory.remove(place->endpoint);
  CHECK(lost == 0);
  directory.remove(endpoint_id{place->endpoint.str() == "e1" ? "e2" : "e1"});
  CHECK(lost == 1);
}

TEST_CASE("an endpoint that has said that it leaves is not lost when it refuses connections") {
  for (const bool says_so : {false, true}) {
    CAPTURE(says_so);
    manual_clock time;
    endpoint_directory directory{data_centre_id{"dc"}, choice_weights{}, time};
    int lost = 0;
    directory.on_loss([&](const auto&...) { ++lost; });
    for (const char* id : {"e1", "e2", "e3"})
      directory.put({endpoint_id{id}, "s", std::string{id} + ":1", data_centre_id{"dc"}, 8});
    const auto place = directory.place({"s"});
    REQUIRE(place);
    if (says_so)
      directory.note_says_leaving(*place);
    directory.release(*place, send_outcome::failed, false);
    for (int round = 0; round < 40; ++round) {
      time.advance(100_ms);
      for (const endpoint_directory::probe& probe : directory.due_probes())
        directory.note_probe(probe, probe.endpoint != place->endpoint, false);
    }
    CHECK((lost > 0) == !says_so);
  }
}

TEST_CASE("only the value 1 says that an endpoint leaves") {
  CHECK(terms_of("Server-Leaving: 1\r\n").leaving);
  CHECK(terms_of("Server-Leaving: 1\r\nServer-Leaving: 1\r\n").leaving);
  for (const char* value : {"0", "yes", "", "11", "-1"})
    CHECK_FALSE(terms_of(std::string{"Server-Leaving: "} + value + "\r\n").leaving);
}

// Guards against requests that were placed before the drain time and sent after it.
TEST_CASE("a request that was placed before the drain time is not sent after it") {
  leaving_fixture at{leaving()};
  CHECK(at.call() == 200);
  auto place = at.host.endpoints().place({"s"});
  REQUIRE(place);
  pause_for(drain);
  CHECK_FALSE(at.host.endpoints().note_sent(*place));
  at.host.endpoints().release(*place, send_outcome::withheld, false);
}
