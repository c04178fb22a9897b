#include "relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

// Endpoints that say how many refusals a second they bear fell over under more.
TEST_CASE("a brittle endpoint turns away no more requests in a second than it bears") {
  constexpr std::size_t borne = 2;
  constexpr int requests = 10;
  scripted_endpoint full{replies("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nServer-Brittle: 2\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 scripted_reply::then::keep)};
  relay_fixture host;
  host.add_endpoint("e1", full.address());
  for (int i = 0; i < requests; ++i)
    CHECK(status_of(host.call("/unsafe/", "a" + std::to_string(i), "", "POST", "body")) == 503);
  CHECK(full.seen().size() <= borne);
}
