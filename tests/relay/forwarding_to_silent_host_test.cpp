#include "relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

using then = scripted_reply::then;

} // namespace

// A forwarded request that timed out counted as served, so that its host was preferred for seconds.
TEST_CASE("a host that does not answer forwarded requests is not preferred") {
  scripted_endpoint silent{[](const auto&) { return scripted_reply{"", then::hang, ""}; }};
  scripted_endpoint sound{answers("ok")};
  constexpr std::size_t hosts = 8;
  constexpr std::size_t requests = 6; // of each host
  for (std::size_t i = 0; i < hosts; ++i) {
    relay_fixture host;
    host.add_endpoint("e1", "127.0.0.1:1");
    host.relay().set_hosts({{"silent", silent.address(), ""}, {"sound", sound.address(), ""}});
    for (std::size_t j = 0; j < requests; ++j) {
      raw_caller caller{host.address()};
      caller.send("GET /unsafe/ HTTP/1.1\r\nHost: f.example\r\nAttempt-Id: a" + std::to_string(j) +
                  "\r\nAuthorization: Token key-a\r\nDeadline-Ms: 150\r\n\r\n");
      (void)caller.read_all(time_ms{50}, time_ms{400});
    }
  }
  CHECK(4 * silent.seen().size() <= hosts * requests);
}
