#include "virtual_network.hpp"
#include "wire/impl/membership_codec.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;
using namespace sedgechute::literals;
using sedgechute::test::virtual_network;

TEST_CASE("messages are unchanged after encoding, and their size and rate are bounded") {
  constexpr std::size_t hosts = 120;
  virtual_network network{hosts, 0.02};
  std::size_t largest = 0;
  std::size_t largest_sync = 0;
  std::size_t bytes = 0;
  bool same = true;
  network.observe = [&](std::size_t, const membership_message& message) {
    const wire::membership_message out = to_wire(message);
    const std::size_t size = out.ByteSizeLong();
    std::size_t& slot = message.updates.size() > max_gossip_updates ? largest_sync : largest;
    slot = std::max(slot, size);
    bytes += size;
    if (message.updates.size() % 7 == 3)
      same = same && from_wire(out) == message;
  };
  network.run(8_s);
  CHECK(same);
  CHECK(largest < 1000);
  CHECK(largest_sync < 3500);
  bytes = 0;
  for (std::size_t i = 0; i < 10; ++i)
    network.crash(i * 11 + 1);
  network.run(10_s);
  const std::size_t rate = bytes / hosts / 10;
  MESSAGE("bytes sent per host and second while 10 of 120 hosts crash: " << rate);
  CHECK(rate < 10000);
}

TEST_CASE("malformed messages are rejected") {
  membership_message message;
  message.from = {{host_id{"h"}, 1}, data_centre_id{"d"}, "127.0.0.1:1", 1};
  const wire::membership_message good = to_wire(message);
  CHECK(from_wire(good) == message);

  wire::membership_message without_host = good;
  without_host.mutable_from()->clear_host();
  CHECK_THROWS_AS((void)from_wire(without_host), error);
  wire::membership_message long_name = good;
  long_name.set_target_host(std::string(max_membership_name + 1, 'x'));
  CHECK_THROWS_AS((void)from_wire(long_name), error);
  wire::membership_message bad_state = good;
  bad_state.mutable_from()->set_state(static_cast<wire::member_state>(9));
  CHECK_THROWS_AS((void)from_wire(bad_state), error);
  wire::membership_message oversized = good;
  for (std::size_t i = 0; i <= max_sync_updates; ++i)
    *oversized.add_updates() = good.from();
  CHECK_THROWS_AS((void)from_wire(oversized), error);
}
