// Races of a planned stop: waits, answers and connections during which a phase of the stop begins.

#include "relay_fixture.hpp"
#include "silent_address.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

void sleep_for(time_ms span) {
  std::this_thread::sleep_for(std::chrono::milliseconds{span.count()});
}

} // namespace

// A balancer opens a connection to a stopping host after the notice, and the request arrives a
// round trip later. The host accepted the connection but closed it unread.
TEST_CASE("a connection opened after the notice is still served") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  at.relay().stop().begin();
  at.relay().stop().close_idle();
  raw_caller caller{at.address()};
  sleep_for(time_ms{20});
  caller.send(request_text("/safe/", "id-1"));
  CHECK(status_of(caller.read_all()) == 200);
}

// A request runs when its host begins to stop. Its connection was closed after the answer without
// `Connection: close`, so the caller's next request could cross the close.
TEST_CASE("an answer written after the stop begins has Connection: close") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "x"), time_ms{300}};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  REQUIRE(at.has_open(1));
  at.relay().stop().begin();
  const std::string answer = caller.read_all(time_ms{1000});
  CHECK(status_of(answer) == 200);
  CHECK(caller.last() == io_status::ended);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// The same with a request whose header arrives before the stop and whose body arrives after it.
TEST_CASE("an answer to a request whose body arrives after the stop begins has Connection: close") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  const std::string text = request_text("/unsafe/", "id-1", "", "POST", "body");
  caller.send(text.substr(0, text.size() - 2));
  sleep_for(time_ms{100});
  at.relay().stop().begin();
  caller.send(text.substr(text.size() - 2));
  const std::string answer = caller.read_all(time_ms{1000});
  CHECK(status_of(answer) == 200);
  CHECK(answer.find("Connection: close") != std::string::npos);
}

// The cut comes while a request waits for a connect to a silent endpoint. When the wait ended, the
// request was sent to another endpoint although its host was about to exit.
TEST_CASE("no request is sent to an endpoint after the cut") {
  scripted_endpoint good{answers("x")};
  const silent_address silent;
  relay_fixture at;
  at.add_endpoint("e-silent", silent.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  REQUIRE(at.has_open(1));
  at.add_endpoint("e-good", good.address());
  at.relay().stop().begin();
  at.relay().stop().cut();
  const std::string answer = caller.read_all(time_ms{1500});
  sleep_for(time_ms{200});
  CHECK(good.connections() == 0);
  CHECK(answer.find("outcome_unknown") == std::string::npos);
  CHECK(status_of(answer) == 503);
}

// An endpoint refuses a request without running it, but so late that no other endpoint can finish
// it before the cut. Instead of a refusal, with which the caller could go to another host, the
// request was sent again and cut.
TEST_CASE("a request that has not run is sent again only if it can end before the cut") {
  relay_options options;
  options.stop = {time_ms{900}, time_ms{100}, time_ms{200}};
  scripted_endpoint full{[](const auto&) {
    return scripted_reply{"", then::keep,
                          "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                          time_ms{600}};
  }};
  scripted_endpoint slow{[](const auto& request) {
    return scripted_reply{"", then::keep, whole_answer(attempt_of(request), "x"), time_ms{1000}};
  }};
  relay_fixture at{1000000, options};
  at.add_endpoint("e-full", full.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  for (int i = 0; i < 100 && full.seen().empty(); ++i)
    sleep_for(time_ms{5});
  REQUIRE(full.seen().size() == 1);
  at.relay().stop().begin(); // the cut comes 700 ms later
  at.add_endpoint("e-slow", slow.address());
  std::thread stop{[&] {
    sleep_for(time_ms{700});
    at.relay().stop().cut();
  }};
  const std::string answer = caller.read_all(time_ms{2000});
  stop.join();
  CHECK(slow.seen().empty());
  CHECK(status_of(answer) == 503);
}

// At the cut one caller has sent half of its header and another half of its body. The host waited
// for the rest until its process exited, and closed the connections without an answer.
TEST_CASE("a request that is arriving at the cut is refused at once") {
  relay_fixture at;
  raw_caller half_header{at.address()};
  raw_caller half_body{at.address()};
  const std::string text = request_text("/unsafe/", "id-1", "", "POST", "body");
  half_header.send(text.substr(0, 30));
  half_body.send(text.substr(0, text.size() - 2));
  for (int i = 0; i < 200 && at.frontend().busy() < 2; ++i)
    sleep_for(time_ms{5});
  REQUIRE(at.frontend().busy() == 2);
  at.relay().stop().begin();
  at.relay().stop().cut();
  CHECK(status_of(half_header.read_all(time_ms{1000})) == 503);
  CHECK(status_of(half_body.read_all(time_ms{1000})) == 503);
}

// A caller pipelines its next request behind a stream whose header was sent before the stop and so
// without `Connection: close`. The host closed the connection after the stream and dropped the
// received request: the caller could not tell whether it had run.
TEST_CASE("a pipelined request is answered if no header had Connection: close") {
  scripted_endpoint endpoint{[](const auto& request) {
    if (request.head.path() == "/safe/")
      return scripted_reply{whole_answer(attempt_of(request), "second"), then::keep, ""};
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          event_chunk(2) + "0\r\n\r\n", time_ms{600}};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/once/", "id-1", "Model: m\r\nToken-Usage: 300,60\r\n") +
              request_text("/safe/", "id-2"));
  const std::string begun = caller.read_all(time_ms{200}, time_ms{3000});
  REQUIRE(status_of(begun) == 200);
  REQUIRE(begun.find("Connection: close") == std::string::npos);
  at.relay().stop().begin();
  const std::string rest = caller.read_all(time_ms{1000});
  const std::size_t second = rest.find("0\r\n\r\nHTTP/1.1 200");
  REQUIRE(second != std::string::npos);
  CHECK(rest.find("Connection: close", second) != std::string::npos);
  CHECK(rest.ends_with("second"));
  CHECK(caller.last() == io_status::ended);
}

// A request waits for a connect to a silent endpoint at the cut. Only the connect timeout ended
// that wait, later than the host waits for its last answers: the process exited before the refusal
// was written.
TEST_CASE("a connect to an endpoint is interrupted at the cut") {
  const silent_address silent;
  relay_options options;
  options.connect_timeout = time_ms{3000};
  options.stop.kept_for_exit = time_ms{2500};
  relay_fixture at{1000000, options};
  at.add_endpoint("e-silent", silent.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  REQUIRE(at.has_open(1));
  at.relay().stop().begin();
  at.relay().stop().cut();
  CHECK(status_of(caller.read_all(
            exit_timeouts_for(options.stop, cut_after(options.stop)).answers)) == 503);
}

// The same wait, and its caller leaves. Sending the request after that would be useless work.
TEST_CASE("a connect to an endpoint is interrupted when the caller leaves") {
  const silent_address silent;
  relay_options options;
  options.connect_timeout = time_ms{10000};
  relay_fixture at{1000000, options};
  at.add_endpoint("e-silent", silent.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "b"));
  REQUIRE(at.has_open(1));
  sleep_for(time_ms{50});
  caller.close();
  CHECK(at.has_open(0));
}

// The machine is paused across the cut. Afterwards a request's thread may run before the thread
// that calls `cut`, and sent its request although the cut was due.
TEST_CASE("no request is accepted after the time of the cut, even before cut is called") {
  manual_clock time;
  const stop_bounds bounds;
  planned_stop stop{bounds, time};
  CHECK(stop.taking());
  stop.begin();
  time.advance(cut_after(bounds) - time_ms{1});
  CHECK(stop.taking());
  time.advance(time_ms{1});
  CHECK_FALSE(stop.taking());
  CHECK_FALSE(stop.may_take({time_ms{0}, time_ms{-200}}));
}
