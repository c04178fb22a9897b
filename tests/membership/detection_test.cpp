#include "virtual_network.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;
using sedgechute::test::virtual_network;

namespace {

std::size_t count_suspicions(virtual_network& network, time_ms span) {
  std::size_t suspicions = 0;
  network.observe = [&](std::size_t, const membership_message& message) {
    for (const member_update& update : message.updates)
      if (update.state != member_state::alive)
        ++suspicions;
  };
  network.run(span);
  return suspicions;
}

} // namespace

TEST_CASE("hosts that start with only the host list discover each other") {
  virtual_network network{9, 0.2};
  CHECK(network.run_until(30_s, [&] { return network.all_complete(9); }) < 20_s);
}

TEST_CASE("without message loss no host is suspected and the view stays the same") {
  virtual_network network{9, 0.0};
  network.run_until(30_s, [&] { return network.all_complete(9); });
  network.run(3_s);
  const std::uint64_t version = network.at(0)->view().version;
  CHECK(count_suspicions(network, 120_s) == 0);
  CHECK(network.at(0)->view().version == version);
}

// Until a crash is detected, other hosts send claims and reservations to the crashed host and their
// callers wait. Message loss, as with a failing switch, must not delay the detection.
TEST_CASE("a crash is detected by all hosts within seconds despite message loss") {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    virtual_network network{9, 0.05, seed};
    network.run_until(30_s, [&] { return network.all_complete(9); });
    REQUIRE(network.all_complete(9));
    network.crash(4);
    const time_ms taken = network.run_until(30_s, [&] { return network.seen_by(4) == 0; });
    MESSAGE("9 hosts, 5 % loss: crash known everywhere after " << taken);
    CHECK(taken < 6_s);
  }
}

TEST_CASE("350 hosts start at once without suspicions and detect a crash as quickly as 9 do") {
  constexpr std::size_t hosts = 350;
  virtual_network network{hosts, 0.0};
  const time_ms complete = network.run_until(30_s, [&] { return network.all_complete(hosts); });
  MESSAGE("350 hosts know each other after " << complete);
  CHECK(complete < 20_s);
  CHECK(count_suspicions(network, 5_s) == 0);
  network.loss = 0.05;
  network.crash(4);
  const time_ms taken = network.run_until(30_s, [&] { return network.seen_by(4) == 0; });
  MESSAGE("350 hosts, 5 % loss: crash known everywhere after " << taken);
  CHECK(taken < 6_s);
}

// A process is replaced under the same host name before its crash is detected. Messages to the old
// process must not be accepted by the new one, so the old incarnation must count as dead.
TEST_CASE("a restarted host is a new incarnation and the old one is dead at once") {
  virtual_network network{9, 0.0};
  network.run_until(30_s, [&] { return network.all_complete(9); });
  const incarnation old = network.at(4)->view().members[4].who;
  network.crash(4);
  network.start(4);
  const auto replaced = [&] {
    for (std::size_t i = 0; i < 9; ++i) {
      if (!network.at(i) || !network.shows(i, 4))
        return false;
      for (const member& m : network.at(i)->view().members)
        if (m.who == old || (m.who.host == old.host && m.state != member_state::alive))
          return false;
    }
    return network.all_complete(9);
  };
  CHECK(network.run_until(20_s, replaced) < 10_s);
  network.run(10_s);
  CHECK(replaced());
}

TEST_CASE("an announced stop is known without waiting for the failure detector") {
  virtual_network network{9, 0.0};
  network.run_until(30_s, [&] { return network.all_complete(9); });
  network.at(2)->leave(network.now);
  network.run(2_s);
  for (const member& m : network.at(7)->view().members)
    CHECK(m.leaving == (m.who.host == virtual_network::name(2)));
  network.at(2)->stop(network.now);
  network.run(20_ms);
  network.crash(2);
  CHECK(network.run_until(5_s, [&] { return network.seen_by(2) == 0; }) < 1500_ms);
}
