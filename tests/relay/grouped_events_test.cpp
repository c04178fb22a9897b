// A host with a busy processor collects the events of its streams before it forwards them.

#include "relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

relay_options holding_back_for(time_ms delay) {
  constexpr int quarters = 4;
  relay_options options;
  options.event_latency = time_ms{delay.count() * quarters};
  return options;
}

config_ptr with_timeout(time_ms timeout) {
  return fixture_config({.timeout = timeout});
}

} // namespace

// Guards against a group that holds back the first event or the detection of a caller's close.
TEST_CASE("collecting events delays neither the first one nor the end of a caller that leaves") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::hang};
  }};
  relay_fixture at{1000000, holding_back_for(time_ms{60000}), with_timeout(time_ms{120000})};
  at.set_grouping(1);
  at.add_endpoint("e1", endpoint.address());
  raw_caller caller{at.address()};
  caller.send(request_text("/stream/", "id-1", "", "GET", "", time_ms{120000}));
  CHECK(caller.read_all().find("id: 1\n") != std::string::npos);
  REQUIRE(at.has_open(1));
  caller.close();
  CHECK(at.has_open(0));
}

// Guards against events that are lost, or forwarded one by one, by a host that collects them.
TEST_CASE("events that come while others are collected are forwarded together") {
  scripted_endpoint endpoint{[](const auto& request) {
    return scripted_reply{stream_head(attempt_of(request)) + event_chunk(1), then::keep,
                          event_chunk(2) + event_chunk(3) + "0\r\n\r\n", time_ms{20}};
  }};
  relay_fixture at{1000000, holding_back_for(time_ms{300})};
  at.set_grouping(1);
  at.add_endpoint("e1", endpoint.address());
  const std::string answer = at.call("/stream/", "id-1");
  CHECK(ends_in_order(answer));
  CHECK(answer.find(event_chunk(2) + event_chunk(3)) != std::string::npos);
  REQUIRE(at.has_open(0)); // the figure is added behind the answer
  CHECK(at.figures().text().find("sedgechute_delayed_event_reads_total{host=\"relay-test\"} 1") !=
        std::string::npos);
}
