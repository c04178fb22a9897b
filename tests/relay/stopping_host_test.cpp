// Behaviour of a stopping host towards callers and endpoints.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

} // namespace

TEST_CASE("a stopping host closes each connection after its answer") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  at.relay().stop().begin();
  caller.send(request_text("/safe/", "id-1"));
  const std::string answer = caller.read_all();
  CHECK(status_of(answer) == 200);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(caller.last() == io_status::ended);
}

// The header of a stream was sent before the stop and so without `Connection: close`. The caller's
// next request arrived at the stopping host again and was refused.
TEST_CASE("the connection of a stream begun before the stop is closed too") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          "0\r\n\r\n", time_ms{200}};
  }};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/stream/", "id-1"));
  std::string answer = caller.read_all(time_ms{80});
  REQUIRE(status_of(answer) == 200);
  at.relay().stop().begin();
  answer += caller.read_all(time_ms{300});
  CHECK(ends_in_order(answer));
  caller.send(request_text("/stream/", "id-2"));
  (void)caller.read_all(time_ms{300});
  CHECK(endpoint.seen().size() == 1);
}

TEST_CASE("close_idle of a stopping host closes an idle connection at once") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/safe/", "id-1"));
  REQUIRE(status_of(caller.read_all(time_ms{150})) == 200);
  at.relay().stop().begin();
  at.relay().stop().close_idle();
  (void)caller.read_all(time_ms{300});
  CHECK(caller.last() == io_status::ended);
}

// The cut comes while requests run. Their callers must notice that a stream is incomplete, and a
// request that may have run must not be reported as not run.
TEST_CASE("a stream that is cut at the end of a stop does not look complete") {
  scripted_endpoint endpoint{replies(stream_head("id-1") + event_chunk(1), then::hang)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/once/", "id-1"));
  REQUIRE(status_of(caller.read_all(time_ms{150})) == 200);
  REQUIRE(at.has_open(1));
  at.relay().stop().begin();
  at.relay().stop().cut();
  (void)caller.read_all(time_ms{1000});
  CHECK(caller.last() == io_status::reset);
  CHECK(at.has_open(0));
}

TEST_CASE("a request without an answer at the end of a stop is not reported as not run") {
  scripted_endpoint endpoint{replies("", then::hang)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/unsafe/", "id-1", "", "POST", "x"));
  (void)caller.read_all(time_ms{150});
  REQUIRE(at.has_open(1));
  at.relay().stop().begin();
  at.relay().stop().cut();
  CHECK(status_of(caller.read_all(time_ms{1000})) == 504);
  CHECK(at.has_open(0));
}

// A caller does not read its answer, so the write blocks. The stop must not wait for it.
TEST_CASE("a caller that does not read does not delay a stop") {
  const std::string large(std::size_t{6} << 20U, 'x');
  scripted_endpoint endpoint{answers(large)};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/safe/", "id-1"));
  for (int i = 0; i < 100 && endpoint.seen().empty(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  std::this_thread::sleep_for(std::chrono::milliseconds{200}); // until the write blocks
  REQUIRE(at.has_open(1));
  at.relay().stop().begin();
  at.relay().stop().cut();
  constexpr int polls = 50; // of 20 ms each: the connection itself fails only after 2 s
  for (int i = 0; i < polls && at.relay().open() > 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  CHECK(at.relay().open() == 0);
}

TEST_CASE("after end_taking every request is refused without being sent") {
  scripted_endpoint endpoint{answers("x")};
  relay_fixture at;
  at.add_endpoint("e1", endpoint.address());
  at.relay().stop().begin();
  at.relay().stop().end_taking();
  const std::string answer = at.call("/unsafe/", "id-1", "", "POST", "x");
  CHECK(status_of(answer) == 503);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(endpoint.seen().empty());
}
