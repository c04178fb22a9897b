// Endpoints that send bytes without an end: interim headers, one event, comments.

#include "relay/impl/endpoint_exchange.hpp"
#include "relay_fixture.hpp"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

constexpr std::size_t flood_bytes = 24U << 20U; // more than a host needs for any of them
constexpr std::size_t bound = 1U << 20U;
const std::string generated = "Model: m\r\nToken-Usage: 10,10\r\n";

std::string repeated(std::string_view unit, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes)
    text += unit;
  return text;
}

std::string one_chunk(const std::string& bytes) {
  std::ostringstream text;
  text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
  return text.str();
}

relay_options bounded() {
  relay_options options;
  options.max_event = bound;
  options.max_stream = 2 * bound;
  return options;
}

/// \returns what the caller of a route gets from an endpoint that sends `flood` after `begin`, and
/// then keeps its connection open
std::string answer_to(const std::string& path, const std::string& begin, const std::string& flood) {
  scripted_endpoint endpoint{[&](const auto&) {
    return scripted_reply{begin + flood, then::hang, ""};
  }};
  relay_fixture host{1'000'000, bounded()};
  host.add_endpoint("e1", endpoint.address());
  const std::string answer =
      host.call(path, "id-1", path == "/stream/" ? generated : "", "POST", "body");
  CHECK(endpoint.saw_caller_leave(time_ms{3000}));
  return answer;
}

std::string stream_with(const std::string& bytes) {
  return answer_to("/stream/", stream_head("id-1"), one_chunk(bytes));
}

} // namespace

// A host read interim headers, or one event, for as long as they came.
TEST_CASE("interim headers without an end are given up at a bound") {
  CHECK(status_of(answer_to("/safe/", "",
                            repeated("HTTP/1.1 100 Continue\r\n\r\n", flood_bytes))) == 502);
}

TEST_CASE("an event without an end is given up at a bound") {
  CHECK(status_of(stream_with("data: " + repeated("x", flood_bytes))) == 502);
  CHECK(status_of(stream_with(repeated("data: x\n", flood_bytes))) == 502);
}

TEST_CASE("a stream of comments without an end is cut at a bound") {
  const std::string answer = stream_with(repeated(": comment\n\n", flood_bytes));
  CHECK(answer.size() <= 3 * bound);
  CHECK_FALSE(ends_in_order(answer));
}

TEST_CASE("a body without an end is given up at a bound") {
  CHECK(status_of(answer_to("/safe/",
                            "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Signature: m\r\n\r\n",
                            repeated("x", flood_bytes))) == 502);
}

TEST_CASE("a header without an end is given up at a bound") {
  CHECK(status_of(answer_to("/safe/", "HTTP/1.1 200 OK\r\n", repeated("A: b\r\n", flood_bytes))) ==
        502);
}

// Bytes that have arrived are read also after the deadline of their request, but not for ever.
TEST_CASE("a reply that goes on beyond the deadline is given up after some more bytes") {
  late_reading reading{.bytes_left = 100};
  CHECK(reading.may_go_on(time_ms{10}, time_ms{20}, 1000));
  CHECK(reading.may_go_on(time_ms{20}, time_ms{20}, 60));
  CHECK(reading.may_go_on(time_ms{20}, time_ms{20}, 40));
  CHECK_FALSE(reading.may_go_on(time_ms{30}, time_ms{20}, 1));
}
