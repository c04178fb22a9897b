#include "uneven_fleet.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::uneven;

namespace {

// Hosts draw from generators of their own, so that both play the same requests.
void compare(const fleet_shape& shape) {
  const fleet_result ours = model_fleet{shape}.play(false);
  const fleet_result oracle = model_fleet{shape}.play(true);
  MESSAGE(shape.hosts << " hosts: mean " << ours.mean << " of " << oracle.mean << " ms ("
                      << ours.mean / oracle.mean << "), 99th percentile " << ours.p99 << " of "
                      << oracle.p99 << " (" << ours.p99 / oracle.p99 << ')');
  CHECK(ours.mean <= 1.3 * oracle.mean);
  CHECK(ours.p99 <= 1.3 * oracle.p99);
}

// The engines of a deployment with 430 requests a second have a fifth of their capacity in use.
fleet_shape engines(std::size_t hosts, double use = 0.7) {
  return {.hosts = hosts, .use = use};
}

fleet_shape plain(std::size_t hosts) {
  return {.hosts = hosts, .endpoints = 5, .slots = 6, .engines = false, .work_ms = 60};
}

} // namespace

// Each guards against hosts that all choose the same endpoint, and against old and lost reports.
TEST_CASE("1 host waits little longer at uneven engines than if it knew all loads") {
  compare(engines(1));
}
TEST_CASE("16 hosts wait little longer at uneven engines than if they knew all loads") {
  compare(engines(16));
}
TEST_CASE("85 hosts wait little longer at uneven engines than if they knew all loads") {
  compare(engines(85));
}
TEST_CASE("300 hosts wait little longer at uneven engines than if they knew all loads") {
  compare(engines(300));
}
TEST_CASE("1 host waits little longer at uneven plain endpoints than if it knew all loads") {
  compare(plain(1));
}
TEST_CASE("16 hosts wait little longer at uneven plain endpoints than if they knew all loads") {
  compare(plain(16));
}
TEST_CASE("85 hosts wait little longer at uneven plain endpoints than if they knew all loads") {
  compare(plain(85));
}
TEST_CASE("300 hosts wait little longer at uneven plain endpoints than if they knew all loads") {
  compare(plain(300));
}

TEST_CASE("85 hosts wait little longer at uneven engines under usual load") {
  compare(engines(85, 0.2));
}
TEST_CASE("300 hosts wait little longer at uneven engines under usual load") {
  compare(engines(300, 0.2));
}

// Guards against an endpoint whose figure attracts more requests than it has room for.
TEST_CASE("an endpoint whose figure is always 0 or always 100 gets no more than its capacity") {
  constexpr std::size_t queue = 24;
  for (const double says : {0.0, 100.0})
    for (const std::size_t hosts : {std::size_t{1}, std::size_t{16}, std::size_t{85}}) {
      fleet_shape shape = plain(hosts);
      shape.liar = says;
      CHECK(model_fleet{shape}.play(false).most_at_liar <= shape.slots + queue);
    }
}
