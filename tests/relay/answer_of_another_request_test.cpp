// End-to-end tests of answers that do not belong to the request that was sent last.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

const std::string not_executed = "HTTP/1.1 503 No\r\nNot-Executed: 1\r\n";
const std::string misdirected = "HTTP/1.1 421 Misdirected\r\nInstance-Id: x\r\n";

std::string bearing(const std::string& id) {
  return (id.empty() ? "" : "Attempt-Id: " + id + "\r\n") + "Content-Length: 0\r\n\r\n";
}

/// Answers the request `first`, sends the request `second` these bytes before its answer, and
/// answers all others.
scripted_endpoint::script before_second_answer(const std::string& bytes) {
  return [bytes](const auto& request) {
    const std::string answer = whole_answer(attempt_of(request), "of " + attempt_of(request));
    return scripted_reply{attempt_of(request) == "second" ? bytes + answer : answer, then::keep,
                          ""};
  };
}

/// One host with an endpoint whose kept connection brings other bytes before the second answer.
struct kept_connection {
  explicit kept_connection(const std::string& bytes) : endpoint{before_second_answer(bytes)} {
    host.add_endpoint("e1", endpoint.address());
    CHECK(host.call("/unsafe/", "first", "", "POST", "b").ends_with("of first"));
  }

  [[nodiscard]] int status_of_second() {
    return status_of(host.call("/unsafe/", "second", "", "POST", "b"));
  }

  scripted_endpoint endpoint;
  relay_fixture host;
};

} // namespace

// A request that ran was answered as not run, because a late answer to an earlier request said so
// of that one.
TEST_CASE("a late refusal of an earlier request does not count for the one that was sent") {
  for (const std::string& late : {not_executed, misdirected}) {
    kept_connection kept{late + bearing("first")};
    CHECK(kept.status_of_second() == 502);
    CHECK(kept.endpoint.connections() == 1);
    CHECK(kept.endpoint.seen().size() == 2);
  }
}

// Guards against a second run of a request on account of an answer that may be another one's.
TEST_CASE("a refusal without an id does not count on a connection that carried another request") {
  for (const std::string& late : {not_executed, misdirected}) {
    kept_connection kept{late + bearing("")};
    CHECK(kept.status_of_second() == 502);
    CHECK(kept.endpoint.seen().size() == 2);
  }
}

// Guards against refusals that are no longer believed at all.
TEST_CASE("a refusal counts for the request whose id it bears, also on a kept connection") {
  for (const std::string& refusal : {not_executed, misdirected}) {
    kept_connection kept{refusal + bearing("second")};
    CHECK(kept.status_of_second() == 503);
  }
}

// An endpoint was taken out of use for a late answer to an earlier request.
TEST_CASE("a 421 for another request takes no endpoint out of use") {
  for (const std::string& id : {"first", ""}) {
    kept_connection kept{misdirected + bearing(id)};
    CHECK(kept.status_of_second() == 502);
    CHECK(status_of(kept.host.call("/unsafe/", "third", "", "POST", "b")) == 200);
  }
}

// Guards against answers to other requests that pass for this one's as they name none.
TEST_CASE("an answer without an id does not count on a connection that carried another request") {
  kept_connection kept{"HTTP/1.1 200 OK\r\nResponse-Signature: mark\r\n" + bearing("")};
  CHECK(kept.status_of_second() == 502);
}

// Guards against endpoints that echo no id and whose kept connections could not be used.
TEST_CASE("an endpoint that echoes no id gets each request on a connection of its own") {
  scripted_endpoint endpoint{
      replies("HTTP/1.1 200 OK\r\nResponse-Signature: mark\r\n" + bearing(""), then::keep)};
  relay_fixture host;
  host.add_endpoint("e1", endpoint.address());
  for (const char* id : {"a", "b", "c"})
    CHECK(status_of(host.call("/unsafe/", id, "", "POST", "b")) == 200);
  CHECK(endpoint.connections() == 3);
}

// A request without an id gets an answer without one, which is told from others by its connection.
TEST_CASE("a request without an id is sent on a connection of its own") {
  scripted_endpoint endpoint{[](const auto& request) {
    const std::string mark = "HTTP/1.1 400 No id\r\nResponse-Signature: mark\r\n";
    return scripted_reply{attempt_of(request).empty() ? mark + bearing("")
                                                      : whole_answer(attempt_of(request), "x"),
                          then::keep, ""};
  }};
  relay_fixture host;
  host.add_endpoint("e1", endpoint.address());
  CHECK(status_of(host.call("/unsafe/", "a", "", "POST", "b")) == 200);
  CHECK(status_of(host.call("/unsafe/", "", "", "POST", "b")) == 400);
  CHECK(status_of(host.call("/unsafe/", "b", "", "POST", "b")) == 200);
  CHECK(endpoint.connections() == 2);
}

// Guards against another host's refusal of another request, after which this one would be repeated.
TEST_CASE("a refusal by another host counts for the request whose id it bears") {
  const std::string refusal = "HTTP/1.1 503 No\r\n";
  for (const auto& [id, status] : {std::pair{"other", 502}, {"a", 503}, {"", 503}}) {
    scripted_endpoint other_host{replies(refusal + bearing(id), then::keep)};
    relay_fixture host;
    host.add_endpoint("e1", "127.0.0.1:1");
    host.relay().set_hosts({{"h1", other_host.address(), ""}});
    CHECK(status_of(host.call("/unsafe/", "a", "", "POST", "b")) == status);
    CHECK(other_host.seen().size() == 1);
  }
}

// The load is the endpoint's, whichever request the answer belongs to.
TEST_CASE("the load report of an answer to another request is taken") {
  kept_connection kept{not_executed + "Instance-Load: 7,7,8,-1\r\n" + bearing("first")};
  std::string taken;
  kept.host.endpoints().on_malformed_load(
      [&](const endpoint_id&, const std::string& report) { taken = report; });
  CHECK(kept.status_of_second() == 502);
  CHECK(taken == "7,7,8,-1");
}
