// End-to-end tests: raw caller, HTTP frontend, relay and scripted endpoints.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>
#include <utility>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

} // namespace

TEST_CASE("an answer reaches its caller unchanged") {
  scripted_endpoint endpoint{answers("hello")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/safe/a?b=c", "id-1", "X-Own: 1\r\n");
  CHECK(status_of(answer) == 200);
  CHECK(answer.find("Response-Signature: mark") != std::string::npos);
  CHECK(answer.ends_with("\r\n\r\nhello"));
  const auto seen = endpoint.seen();
  REQUIRE(seen.size() == 1);
  CHECK(seen[0].head.target == "/safe/a?b=c");
  CHECK(*seen[0].head.fields.find("X-Own") == "1");
  CHECK(*seen[0].head.fields.find("Tenant") == "team-a");
  CHECK(*seen[0].head.fields.find("Expected-Instance") == "e1");
  CHECK(seen[0].head.fields.number("Deadline-Ms").value_or(9999) <= 1500);
  CHECK_FALSE(seen[0].head.fields.has("Authorization"));
}

TEST_CASE("several requests follow each other on one connection, at both ends") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  for (int i = 0; i < 3; ++i) {
    caller.send(request_text("/safe/", "id-" + std::to_string(i)));
    CHECK(status_of(caller.read_all(time_ms{150})) == 200);
  }
  CHECK(endpoint.seen().size() == 3);
  CHECK(endpoint.connections() == 1);
}

TEST_CASE("a body in chunks reaches the endpoint whole") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "Transfer-Encoding: chunked\r\n", "POST"));
  caller.send("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(status_of(caller.read_all()) == 200);
  REQUIRE(endpoint.seen().size() == 1);
  CHECK(endpoint.seen()[0].body == "abcde");
}

TEST_CASE("unknown hosts, paths and keys are refused and reach no endpoint") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  CHECK(status_of(at.call("/none/", "id-1")) == 404);
  raw_caller caller{at.address()};
  caller.send("GET /safe/ HTTP/1.1\r\nHost: f.example\r\nAttempt-Id: 2\r\n\r\n");
  CHECK(status_of(caller.read_all()) == 401);
  CHECK(endpoint.seen().empty());
}

// Request smuggling: a caller hides a second request behind a body with two lengths. Neither may
// reach an endpoint.
TEST_CASE("a request with two body lengths is refused") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1",
                           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "POST") +
              "0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: f.example\r\n\r\n");
  CHECK(status_of(caller.read_all()) == 400);
  CHECK(endpoint.seen().empty());
}

TEST_CASE("headers and bodies above the limits are refused") {
  relay_fixture at;
  CHECK(status_of(at.call("/safe/", "id-1", "X-Long: " + std::string(5000, 'a') + "\r\n")) == 413);
  CHECK(status_of(at.call("/unsafe/", "id-2", "", "POST", std::string(10001, 'b'))) == 413);
}

TEST_CASE("a slow header is answered with 408") {
  relay_fixture at;
  raw_caller caller{at.address()};
  caller.send("GET /safe/ HTT");
  CHECK(status_of(caller.read_all(time_ms{1500})) == 408);
}

TEST_CASE("an idle connection is closed after the idle timeout") {
  relay_fixture at;
  raw_caller caller{at.address()};
  CHECK(caller.read_all(time_ms{3000}).empty());
  CHECK(caller.last() == io_status::ended);
}

// The first endpoint is full and refuses the request without running it, so a request of any kind
// may be sent to the next one.
TEST_CASE("a request that was not run goes to another endpoint") {
  scripted_endpoint full{
      replies("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", then::keep)};
  scripted_endpoint free{answers("ok")};
  relay_fixture at;
  at.add_endpoint("e1", full.address());
  at.add_endpoint("e2", free.address());
  int served = 0;
  for (int i = 0; i < 4; ++i)
    served +=
        status_of(at.call("/unsafe/", "id-" + std::to_string(i), "", "POST", "b")) == 200 ? 1 : 0;
  CHECK(served == 4);
}

TEST_CASE("when every endpoint refuses, the answer has Retry-After") {
  scripted_endpoint full{
      replies("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", then::keep)};
  relay_fixture at;
  at.add_endpoint("e1", full.address());
  const std::string answer = at.call("/unsafe/", "id-1", "", "POST", "b");
  CHECK(status_of(answer) == 503);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

// The endpoint resets the connection after it has read the request, which may have run. With a 503
// the caller would send it again.
TEST_CASE("a request that may have run is neither repeated nor reported as not run") {
  scripted_endpoint broken{replies("", then::reset)};
  scripted_endpoint other{replies("", then::reset)};
  relay_fixture at;
  at.add_endpoint("e1", broken.address());
  at.add_endpoint("e2", other.address());
  CHECK(status_of(at.call("/unsafe/", "id-1", "", "POST", "b")) == 502);
  CHECK(broken.seen().size() + other.seen().size() == 1);
  CHECK(status_of(at.call("/once/", "id-2")) == 502);
  CHECK(broken.seen().size() + other.seen().size() == 2);
}

TEST_CASE("a safe request is sent once more after a failure") {
  scripted_endpoint broken{replies("", then::reset)};
  scripted_endpoint sound{answers("ok")};
  relay_fixture at;
  at.add_endpoint("e1", broken.address());
  at.add_endpoint("e2", sound.address());
  for (int i = 0; i < 4; ++i)
    CHECK(status_of(at.call("/safe/", "id-" + std::to_string(i))) == 200);
}

// The only endpoint of a service breaks off, and there is no other. Repeated attempts to find one
// used up the retry budget of the service at once, and later requests were refused although a
// second endpoint had capacity.
TEST_CASE("a request without another endpoint uses no retries of others") {
  bool broken = true;
  scripted_endpoint first{[&](const auto& request) {
    const bool breaks_off = std::exchange(broken, false);
    return breaks_off ? scripted_reply{"HTTP/1.1 200 OK\r\n", then::close, ""}
                      : scripted_reply{whole_answer(attempt_of(request), "x"), then::keep, ""};
  }};
  scripted_endpoint full{
      replies("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", then::keep)};
  relay_fixture at;
  at.add_endpoint("e1", first.address());
  CHECK(status_of(at.call("/safe/", "id-1")) == 502);
  at.add_endpoint("e2", full.address()); // has no failures, so it is chosen before the first
  CHECK(status_of(at.call("/safe/", "id-2")) == 200);
  CHECK(full.seen().size() == 1);
}

// An endpoint accepts requests and never answers. A safe request is sent elsewhere long before its
// caller's timeout.
TEST_CASE("a safe request does not wait for a hanging endpoint") {
  scripted_endpoint hanging{replies("", then::hang)};
  scripted_endpoint sound{answers("ok")};
  relay_fixture at;
  at.add_endpoint("e1", hanging.address());
  at.add_endpoint("e2", sound.address());
  for (int i = 0; i < 4; ++i) {
    raw_caller caller{at.address()};
    caller.send(request_text("/safe/", "id-" + std::to_string(i)));
    CHECK(status_of(caller.read_all(time_ms{1400})) == 200);
  }
}

// Invalid bytes, an answer to another request, an answer without the field that marks endpoints,
// and a refusal that does not promise that nothing ran: none of these may be passed to a caller.
TEST_CASE("replies that are not this request's answer do not reach the caller") {
  const std::string others = whole_answer("other-id", "secret of another");
  const std::string unmarked = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret";
  const std::string unclear =
      "HTTP/1.1 503 No\r\nResponse-Signature: m\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& bytes : {std::string{"garbage\r\n\r\n"}, others, unmarked, unclear}) {
    scripted_endpoint endpoint{replies(bytes, then::close)};
    relay_fixture at;
    at.add_endpoint("e1", endpoint.address());
    const std::string answer = at.call("/unsafe/", "id-1", "", "POST", "b");
    CHECK(status_of(answer) == 502);
    CHECK(answer.find("secret") == std::string::npos);
  }
}

TEST_CASE("an answer that ends early does not look complete") {
  const std::string cut =
      "HTTP/1.1 200 OK\r\nResponse-Signature: m\r\nContent-Length: 50\r\n\r\nhalf";
  scripted_endpoint endpoint{replies(cut, then::close)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  CHECK(status_of(at.call("/unsafe/", "id-1", "", "POST", "b")) == 502);
}

TEST_CASE("an answer without a length is complete when its connection is closed in order") {
  const std::string open = "HTTP/1.1 200 OK\r\nResponse-Signature: m\r\n\r\nbody";
  scripted_endpoint endpoint{replies(open, then::close)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/unsafe/", "id-1", "", "POST", "b");
  CHECK(status_of(answer) == 200);
  CHECK(answer.ends_with("body"));
}

// An endpoint sends a second answer after the first. It must not be taken for the answer to the
// next request on that connection.
TEST_CASE("a connection with unexpected extra bytes is not reused") {
  scripted_endpoint endpoint{[](const auto& request) {
    const std::string one = whole_answer(attempt_of(request), "right");
    return scripted_reply{one + whole_answer(attempt_of(request), "extra"), then::keep, ""};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  for (int i = 0; i < 3; ++i)
    CHECK(at.call("/safe/", "id-" + std::to_string(i)).ends_with("right"));
  CHECK(endpoint.connections() == 3);
}

TEST_CASE("an endpoint's own error is passed on as it is when the request may not run again") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{whole_answer(attempt_of(request), "why", 500), then::keep, ""};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/unsafe/", "id-1", "", "POST", "b");
  CHECK(status_of(answer) == 500);
  CHECK(answer.find("Response-Signature: mark") != std::string::npos);
}

TEST_CASE("an endpoint's own error is passed on when no other endpoint is left") {
  scripted_endpoint endpoint{replies("HTTP/1.1 500 Own\r\nResponse-Signature: "
                                     "mark\r\nContent-Length: 3\r\n\r\nown",
                                     then::keep)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/safe/", "id-1");
  CHECK(status_of(answer) == 500);
  CHECK(answer.ends_with("\r\n\r\nown"));
  CHECK(endpoint.seen().size() == 1);
}

TEST_CASE("a stream reaches its caller whole") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          event_chunk(2) + "0\r\n\r\n"};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/stream/", "id-1");
  CHECK(status_of(answer) == 200);
  CHECK(answer.find("id: 1\n") < answer.find("id: 2\n"));
  CHECK(ends_in_order(answer));
}

// An endpoint crashes in the middle of an event. If the stream is resumable, another endpoint
// resumes after the last complete event, and the caller gets each event once.
TEST_CASE("a broken stream is resumed at another endpoint") {
  const auto script = [](const scripted_endpoint::seen_request& request) {
    const std::string head = stream_head(attempt_of(request));
    if (const auto behind = request.head.fields.number("Last-Event-Id")) {
      CHECK(*behind == 2);
      return scripted_reply{head + event_chunk(3) + "0\r\n\r\n", then::keep, ""};
    }
    return scripted_reply{head + event_chunk(1) + event_chunk(2) + "10\r\nid: 3\ndata: h",
                          then::reset, ""};
  };
  scripted_endpoint one{script};
  scripted_endpoint two{script};
  relay_fixture at;
  at.add_endpoint("e1", one.address());
  at.add_endpoint("e2", two.address());
  const std::string answer = at.call("/stream/", "id-1");
  for (const char* id : {"id: 1\n", "id: 2\n", "id: 3\n"}) {
    REQUIRE(answer.find(id) != std::string::npos);
    CHECK(answer.find(id) == answer.rfind(id));
  }
  CHECK(ends_in_order(answer));
}

TEST_CASE("a broken stream that may not be resumed does not look complete") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::reset, ""};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/once/", "id-1");
  CHECK_FALSE(ends_in_order(answer));
}

// A caller closes its connection during a stream. The connection to the engine must be closed
// within half a second, so that the engine stops useless work.
TEST_CASE("the connection to an endpoint is closed when the caller has left") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::hang, ""};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/once/", "id-1"));
  (void)caller.read_all(time_ms{100});
  caller.close();
  CHECK(endpoint.saw_caller_leave(time_ms{500}));
}

TEST_CASE("a sent request is answered at its route's timeout as one that may have run") {
  scripted_endpoint endpoint{replies("", then::hang)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  CHECK(status_of(caller.read_all(time_ms{2500})) == 504);
}

// A request beyond the team's budget is refused with 402. What an earlier request did not use of
// its reservation has been returned before.
TEST_CASE("tokens are reserved before a request is sent and settled by what was delivered") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1) + "0\r\n\r\n",
                          then::keep, ""};
  }};
  relay_fixture at{2000};
  at.add_endpoint("e1", endpoint.address());
  CHECK(status_of(at.call("/stream/", "id-0", "Token-Usage: 1000,1001\r\n")) == 402);
  std::string answer;
  for (int i = 0; i < 100 && status_of(answer) != 200; ++i)
    answer = at.call("/stream/", "id-1", "Token-Usage: 500,400\r\n");
  REQUIRE(status_of(answer) == 200);
  for (int i = 0; i < 100 && at.budgets().totals()["team-a"].used != 505; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  CHECK(at.budgets().totals()["team-a"].used == 505);
  CHECK(status_of(at.call("/stream/", "id-2", "Token-Usage: 1000,500\r\n")) == 402);
}

TEST_CASE("an endpoint whose address belongs to another one gets no more requests") {
  scripted_endpoint other{replies(
      "HTTP/1.1 421 Misdirected\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n", then::keep)};
  scripted_endpoint right{answers("ok")};
  relay_fixture at;
  at.add_endpoint("e1", other.address());
  at.add_endpoint("e2", right.address());
  for (int i = 0; i < 5; ++i)
    CHECK(status_of(at.call("/unsafe/", "id-" + std::to_string(i), "", "POST", "b")) == 200);
  CHECK(other.seen().size() <= 1);
}

// On an overloaded host a request stays unread until its caller has given up and closed the
// connection. When the host then reads the request, it must not send it to an endpoint.
TEST_CASE("a request whose caller has left before it was read is not sent") {
  scripted_endpoint endpoint{answers("late")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  Poco::Net::ServerSocket unread{Poco::Net::SocketAddress{"127.0.0.1", 0}};
  raw_caller caller{unread.address().toString()};
  caller.close();
  const steady_clock time;
  connection link{unread.acceptConnection(), time};
  const std::string text = request_text("/unsafe/", "id-1", "", "POST");
  incoming_request request{parse_request_head(text), {}, time.now(), link, false};
  CHECK(at.relay().serve(request) == connection_action::abort);
  std::this_thread::sleep_for(std::chrono::milliseconds{200}); // a send would have arrived by now
  CHECK(endpoint.seen().empty());
}

// More callers arrive than a host can serve. Requests beyond the limit are refused at once with
// Retry-After and reach no endpoint; when others have ended, requests are accepted again.
TEST_CASE("a host at its limit of open requests refuses more at once") {
  scripted_endpoint endpoint{[](const auto& request) {
    const bool hangs = attempt_of(request) == "id-1";
    return scripted_reply{hangs ? "" : whole_answer(attempt_of(request), "x"),
                          hangs ? then::hang : then::keep, ""};
  }};
  relay_fixture at{1000000, {.max_open = 1}};
  at.add_endpoint("e1", endpoint.address());
  raw_caller first{at.address()};
  first.send(request_text("/unsafe/", "id-1", "", "POST"));
  for (int i = 0; i < 200 && endpoint.seen().empty(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  const std::string refused = at.call("/unsafe/", "id-2", "", "POST");
  CHECK(status_of(refused) == 503);
  CHECK(refused.find("Retry-After: 0.4") != std::string::npos);
  CHECK(endpoint.seen().size() == 1);
  first.close();
  for (int i = 0; i < 200 && at.relay().open() > 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  CHECK(status_of(at.call("/unsafe/", "id-3", "", "POST")) == 200);
}
