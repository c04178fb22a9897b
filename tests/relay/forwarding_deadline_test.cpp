#include "relay_fixture.hpp"
#include "silent_address.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

// A request whose deadline had passed was forwarded, and the other host called it malformed.
TEST_CASE("a request whose deadline has passed is not forwarded") {
  const silent_address silent;
  scripted_endpoint other_host{answers("ok")};
  relay_options options;
  options.connect_timeout = time_ms{1600}; // longer than the caller waits
  relay_fixture host{1000000, options};
  host.add_endpoint("e1", silent.address());
  host.relay().set_hosts({{"h1", other_host.address(), ""}});
  CHECK(status_of(host.call("/unsafe/", "a1", "", "POST", "body")) == 503);
  CHECK(other_host.seen().empty());
}
