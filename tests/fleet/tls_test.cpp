#include "running_fleet.hpp"

#include <Poco/Net/DatagramSocket.h>

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;
using namespace sedgechute::fleet_test;

namespace {

bool shows(const running_fleet& fleet, int host, const std::string& text) {
  constexpr int looks = 100;
  for (int i = 0; i < looks; ++i) {
    if (fleet.operate(host, "GET", "hosts").body.find(text) != std::string::npos ||
        fleet.get(host, "/metrics").body.find(text) != std::string::npos)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
  }
  return false;
}

} // namespace

// Hosts that authenticate each other still have to act as one fleet: a retry through another host
// is answered from the first run, which only works when the hosts hear each other. Whoever sends a
// host a datagram without the key is counted and not heard.
TEST_CASE("a fleet with TLS everywhere answers a retry through another host once") {
  fleet_shape shape;
  shape.tls = true;
  const running_fleet fleet{shape};
  for (int host = 0; host < shape.hosts; ++host)
    CHECK(fleet.service(host, "POST", "/order", "tls-order").status == 200);
  const auto first = fleet.ask(0, "once", 8, false, "tls-chat");
  const auto second = fleet.ask(1, "once", 8, false, "tls-chat");
  CHECK(first.status == 200);
  CHECK(second.status == 200);

  Poco::Net::DatagramSocket stranger;
  const std::string forged(200, 'f');
  stranger.sendTo(forged.data(), static_cast<int>(forged.size()),
                  Poco::Net::SocketAddress{"127.0.0.1", fleet.peer_port(0)});
  CHECK(shows(fleet, 0, R"(reason="forged")"));
}
