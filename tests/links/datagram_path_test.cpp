#include "daemon/impl/datagram_path.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

TEST_SUITE("datagram path") {
  TEST_CASE("a path is silent after many datagrams without acknowledgement, or a long time") {
    datagram_path busy;
    time_ms now = 100_s;
    for (std::uint64_t i = 0; i < datagram_policy{}.silent_after; ++i)
      (void)busy.send(now);
    CHECK(busy.carries(now));
    CHECK_FALSE(busy.carries(now + 1_s));

    datagram_path quiet;
    CHECK(quiet.carries(now));
    CHECK(quiet.send(now) == 1);
    CHECK(quiet.carries(now + 11_s));
    CHECK_FALSE(quiet.carries(now + 12_s));
  }

  TEST_CASE("a path that was silent carries again once a probe was acknowledged") {
    // For hours after a minute's trouble all small messages of two hosts go by calls, which cost
    // sixty times as much. Only a datagram can show that datagrams pass again.
    datagram_path path;
    (void)path.send(100_s);
    CHECK_FALSE(path.carries(112_s));
    CHECK(path.probe_due(112_s));
    const std::uint64_t probe = path.send(112_s);
    CHECK_FALSE(path.probe_due(113_s));
    CHECK(path.probe_due(122_s));
    path.hear(0, probe, false, 123_s);
    CHECK(path.carries(123_s));
    CHECK_FALSE(path.probe_due(200_s));
  }

  TEST_CASE(
      "acknowledgements wait for company, but not for long, and probes are answered at once") {
    datagram_path path;
    path.hear(1, 0, false, 100_s);
    CHECK_FALSE(path.acknowledgement_due(104_s));
    CHECK(path.acknowledgement_due(105_s));
    CHECK(path.acknowledge() == 1);
    CHECK_FALSE(path.acknowledgement_due(200_s));
    path.hear(9, 0, false, 200_s);
    CHECK(path.acknowledgement_due(200_s));
    CHECK(path.acknowledge() == 9);
    // Late ones and copies need no answer, so two hosts never answer each other for ever.
    path.hear(4, 0, false, 201_s);
    path.hear(9, 0, false, 201_s);
    path.hear(0, 0, true, 201_s);
    CHECK_FALSE(path.acknowledgement_due(300_s));
    path.hear(10, 0, true, 300_s);
    CHECK(path.acknowledgement_due(300_s));
  }

  TEST_CASE("an acknowledgement of what was never sent counts for no more than was sent") {
    datagram_path path;
    (void)path.send(100_s);
    path.hear(0, 900, false, 100_s);
    (void)path.send(101_s);
    CHECK_FALSE(path.carries(113_s));
  }
}
