#include "virtual_network.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;
using sedgechute::test::virtual_network;

// A data centre is cut off for longer than any timeout, so each side considers the other dead and
// no longer probes it. Without probes of listed hosts, the two sides would never rejoin.
TEST_CASE("a partition heals without an operator") {
  for (const std::size_t hosts : {9U, 90U}) {
    virtual_network network{hosts, 0.0};
    network.run_until(30_s, [&] { return network.all_complete(hosts); });
    network.cut = [](std::size_t a, std::size_t b) { return (a % 3 == 0) != (b % 3 == 0); };
    network.run(30_s);
    CHECK(network.at(0)->view().members.size() == hosts / 3);
    CHECK(network.at(1)->view().members.size() == hosts - hosts / 3);
    network.cut = [](auto, auto) { return false; };
    const time_ms taken = network.run_until(60_s, [&] { return network.all_complete(hosts); });
    MESSAGE(hosts << " hosts: healed after " << taken);
    CHECK(taken < 20_s);
  }
}

// Two data centres can't reach each other, but both reach a third. Hosts must stay members, because
// hosts of the third answer indirect probes.
TEST_CASE("no host is dead if the link of two data centres is broken but a third reaches both") {
  virtual_network network{9, 0.0};
  network.run_until(30_s, [&] { return network.all_complete(9); });
  network.cut = [](std::size_t a, std::size_t b) { return a % 3 + b % 3 == 1; };
  std::size_t incomplete = 0;
  for (int i = 0; i < 300; ++i) {
    network.run(100_ms);
    incomplete += network.all_complete(9) ? 0 : 1;
  }
  CHECK(incomplete == 0);
}

// A process is paused for longer than any timeout. When it resumes, its timeouts seem to show that
// all other hosts have failed to answer.
TEST_CASE("a resumed host rejoins and suspects no other host") {
  virtual_network network{9, 0.0};
  network.run_until(30_s, [&] { return network.all_complete(9); });
  network.paused.insert(3);
  network.run(15_s);
  CHECK(network.seen_by(3) == 0);
  network.paused.clear();
  const std::uint64_t view_before = network.at(3)->view().version;
  CHECK(network.run_until(20_s, [&] { return network.seen_by(3) == 8; }) < 10_s);
  CHECK(network.at(3)->view().version == view_before);
}
