#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace sedgechute;

namespace {

/// Requests that arrive at a host, each of which is accepted or refused.
struct link_load {
  explicit link_load(double mbps) : usage{mbps} {}

  void arrive(const std::string& team, std::size_t bytes) {
    const bool accepted = usage.has_capacity(time) || !usage.exceeded_by(team, time);
    ++(accepted ? taken : refused)[team];
    if (!accepted)
      return;
    usage.note(team, bytes, time);
    accepted_bytes += bytes;
  }

  link_usage usage;
  time_ms time{100000};
  std::map<std::string, int> taken;
  std::map<std::string, int> refused;
  std::size_t accepted_bytes{0};
};

constexpr std::size_t draft = 12000;
constexpr std::size_t tag = 2400;

} // namespace

TEST_CASE("without a stated capacity the link is no bound") {
  link_load at{0};
  for (int i = 0; i < 1000; ++i)
    at.arrive("a", 100000);
  CHECK(at.refused.empty());
  CHECK(at.usage.most() == 0);
}

// Guards against a host whose link one team's callers overrun: connections to endpoints and to the
// store time out, and all teams at the host lose their requests.
TEST_CASE("a team that sends several times what the link carries is refused, the others are not") {
  link_load at{10};
  for (int ms = 0; ms < 5000; ms += 5) {
    at.time += time_ms{5};
    at.arrive("hot", draft);
    if (ms % 100 == 0)
      at.arrive("other", tag);
  }
  CHECK(at.refused["hot"] > 400);
  CHECK(at.refused["other"] == 0);
  const double mbps = static_cast<double>(at.accepted_bytes) * 8 / 5000 / 1000;
  CHECK(mbps > 5);
  CHECK(mbps < 7.5);
}

TEST_CASE("usual load on a small link is not refused") {
  link_load at{10};
  for (int ms = 0; ms < 5000; ms += 50) {
    at.time += time_ms{50};
    at.arrive("a", draft);
    at.arrive("b", tag);
    at.arrive("c", tag);
  }
  CHECK(at.refused.empty());
}

TEST_CASE("a single large prompt does not shut out the next requests for long") {
  link_load at{10};
  at.arrive("a", 600000);
  at.arrive("b", tag);
  CHECK(at.refused["b"] == 0);
  at.arrive("a", draft);
  CHECK(at.refused["a"] == 1);
  at.time += time_ms{600};
  at.arrive("a", draft);
  CHECK(at.refused["a"] == 1);
}
