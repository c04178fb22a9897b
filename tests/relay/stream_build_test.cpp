// End-to-end tests with endpoints of several builds in one service.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr int streams = 12;

std::string record_of(const std::string& address, const std::string& build) {
  return R"({"Service":"s","Address":")" + address + R"(","Zone":"dc","Version":")" + build +
         R"(","Slots":8,"ColdRemainingMs":0,"Sequence":1,"State":"ready"})";
}

bool continues(const scripted_endpoint::seen_request& request) {
  return request.head.fields.has("Last-Event-Id");
}

bool taken_up(const scripted_endpoint::seen_request& request) {
  return request.head.fields.has("Resumes");
}

/// Endpoints that break each stream off after one event, until a caller takes it up.
scripted_reply break_off(const scripted_endpoint::seen_request& request) {
  const auto last = request.head.fields.number("Last-Event-Id").value_or(0);
  const std::string event =
      stream_head(attempt_of(request)) + event_chunk(static_cast<int>(last) + 1);
  if (taken_up(request))
    return {event + "0\r\n\r\n", then::keep, ""};
  return {event, then::reset, ""};
}

/// Endpoints that break each stream off after one event, and go on with it to its end.
scripted_reply break_off_once(const scripted_endpoint::seen_request& request) {
  if (!continues(request))
    return break_off(request);
  return {stream_head(attempt_of(request)) + event_chunk(2) + "0\r\n\r\n", then::keep, ""};
}

/// One host and endpoints of two builds.
struct mixed_fleet {
  struct member {
    std::string build;
    std::unique_ptr<scripted_endpoint> endpoint;
  };

  mixed_fleet(int of_each, const scripted_endpoint::script& script) {
    for (int i = 0; i < of_each; ++i)
      for (const char* build : {"v1", "v2"})
        add(build, script);
  }

  void add(const std::string& build, const scripted_endpoint::script& script) {
    members.push_back({build, std::make_unique<scripted_endpoint>(script)});
    list(members.size() - 1, build);
  }

  void list(std::size_t member, const std::string& build) {
    host.endpoints().put(parse_endpoint_record(
        "e" + std::to_string(member), record_of(members[member].endpoint->address(), build)));
  }

  /// \returns the builds of the endpoints that requests with this property reached
  template <typename Predicate>
  [[nodiscard]] std::vector<std::string> reached(const std::string& attempt,
                                                 const Predicate& chosen) const {
    std::vector<std::string> builds;
    for (const member& one : members)
      for (const auto& request : one.endpoint->seen())
        if (attempt_of(request) == attempt && chosen(request))
          builds.push_back(one.build);
    return builds;
  }

  [[nodiscard]] std::string begin(const std::string& attempt) {
    return host.call("/stream/", attempt, "Model: m\r\nToken-Usage: 10,20\r\n", "POST", attempt);
  }

  [[nodiscard]] std::string resume(const std::string& attempt, const std::string& origin,
                                   const std::string& last_event) {
    return host.call("/stream/", attempt,
                     "Model: m\r\nToken-Usage: 10,20\r\nLast-Event-Id: " + last_event + "\r\n" +
                         (origin.empty() ? "" : "Resumes: " + origin + "\r\n"),
                     "POST", origin);
  }

  void remove_build(const std::string& build) {
    for (std::size_t i = 0; i < members.size(); ++i)
      if (members[i].build == build)
        host.endpoints().remove(endpoint_id{"e" + std::to_string(i)});
  }

  std::vector<member> members;
  relay_fixture host;
};

bool any_request(const scripted_endpoint::seen_request&) {
  return true;
}

} // namespace

// A stream whose endpoint broke off went on at an endpoint of another build.
TEST_CASE("an answer goes on only at the build that began it") {
  mixed_fleet fleet{2, break_off_once};
  for (int i = 0; i < streams; ++i) {
    const std::string attempt = "id-" + std::to_string(i);
    CHECK(ends_in_order(fleet.begin(attempt)));
    const auto begun =
        fleet.reached(attempt, [](const auto& request) { return !continues(request); });
    REQUIRE(begun.size() == 1);
    CHECK(fleet.reached(attempt, continues) == begun);
  }
}

// A stream that could not go on at its build went on at another one rather than end broken.
TEST_CASE("an answer whose build has no other endpoint ends broken") {
  mixed_fleet fleet{1, break_off_once};
  for (int i = 0; i < streams; ++i) {
    const std::string attempt = "id-" + std::to_string(i);
    const std::string answer = fleet.begin(attempt);
    CHECK(status_of(answer) == 200);
    CHECK_FALSE(ends_in_order(answer));
    CHECK(fleet.reached(attempt, continues).empty());
  }
}

// A stream that its caller took up went on at an endpoint of another build.
TEST_CASE("a stream that is taken up goes on only at the build that began it") {
  mixed_fleet fleet{3, break_off};
  for (int i = 0; i < streams; ++i) {
    const std::string origin = "id-" + std::to_string(i);
    CHECK_FALSE(ends_in_order(fleet.begin(origin)));
    const auto begun = fleet.reached(origin, any_request);
    REQUIRE_FALSE(begun.empty());
    const std::string next = "next-" + std::to_string(i);
    CHECK(ends_in_order(fleet.resume(next, origin, std::to_string(begun.size()))));
    CHECK(fleet.reached(next, any_request) == std::vector{begun.front()});
  }
}

// A stream of a build that was gone went on at the build that was left.
TEST_CASE("a stream whose build is gone is refused at once") {
  mixed_fleet fleet{2, break_off};
  (void)fleet.begin("id");
  const auto begun = fleet.reached("id", any_request);
  REQUIRE_FALSE(begun.empty());
  fleet.remove_build(begun.front());
  CHECK(status_of(fleet.resume("next", "id", "1")) == 503);
  CHECK(fleet.reached("next", any_request).empty());
}

// A stream of which nothing was known went on at any endpoint.
TEST_CASE("a stream of an unknown build is refused where there are two") {
  mixed_fleet fleet{2, break_off};
  CHECK(status_of(fleet.resume("next-1", "stranger", "1")) == 503);
  CHECK(status_of(fleet.resume("next-2", "", "1")) == 503);
  CHECK(fleet.reached("next-1", any_request).empty());
  CHECK(fleet.reached("next-2", any_request).empty());
}

// Refusals of streams whose build no host could serve stopped the forwarding of all requests.
TEST_CASE("streams of a build that no host serves leave the forwarding of others as it is") {
  scripted_endpoint other_host{[](const scripted_endpoint::seen_request& request) {
    if (taken_up(request))
      return scripted_reply{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", then::keep, ""};
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1) + "0\r\n\r\n",
                          then::keep, ""};
  }};
  mixed_fleet fleet{1, [](const scripted_endpoint::seen_request& request) {
                      scripted_reply reply = break_off(request);
                      reply.after = then::crash;
                      return reply;
                    }};
  fleet.host.relay().set_hosts({{"h1", other_host.address(), ""}});
  const auto wait = [](int ms) { std::this_thread::sleep_for(std::chrono::milliseconds{ms}); };
  CHECK_FALSE(ends_in_order(fleet.begin("id")));
  wait(200); // until the endpoint refuses connections
  for (int i = 0; i < 2 * streams; ++i) {
    CHECK(status_of(fleet.resume("next-" + std::to_string(i), "id", "1")) == 503);
    wait(40);
  }
  CHECK_FALSE(ends_in_order(fleet.begin("ends the other build")));
  wait(200);
  CHECK(ends_in_order(fleet.begin("new")));
}
