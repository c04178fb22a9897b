#include "routing/routing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sedgechute;
using namespace sedgechute::literals;

namespace {

struct pool {
  std::vector<endpoint_health> members;

  explicit pool(std::size_t size) : members(size) {}

  void serve(std::size_t i, double observed_ms, bool failed, time_ms now) {
    note_first_token(members[i], observed_ms, 100.0, now);
    note_outcome(members[i], failed, now);
  }

  std::size_t review(time_ms now, const health_policy& policy = {}) {
    std::vector<endpoint_health*> all;
    for (endpoint_health& member : members)
      all.push_back(&member);
    return review_peers(all, policy, now);
  }

  [[nodiscard]] std::size_t count(endpoint_state state) const {
    return std::ranges::count(members, state, &endpoint_health::state);
  }
};

} // namespace

TEST_SUITE("endpoint health") {
  TEST_CASE("a replica much slower than its peers is ejected, reinstated and ejected for longer") {
    // One replica of ten is slow but passes its health checks, so one request in ten takes many
    // seconds.
    pool p{10};
    const auto traffic = [&](time_ms now) {
      for (int k = 0; k < 10; ++k)
        for (std::size_t i = 0; i < 10; ++i)
          if (p.members[i].state == endpoint_state::serving)
            p.serve(i, i == 3 ? 2000.0 : 110.0, false, now);
    };
    traffic(1_s);
    CHECK(p.review(1_s) == 1);
    CHECK(p.members[3].state == endpoint_state::ejected);
    const time_ms first_until = p.members[3].until;
    CHECK(p.review(first_until) == 1);
    CHECK(p.members[3].state == endpoint_state::serving);
    traffic(first_until);
    CHECK(p.review(first_until) == 1);
    CHECK(p.members[3].until - first_until > first_until - 1_s);
  }

  TEST_CASE("no replica is ejected if all are slow, because the cause is load") {
    pool p{10};
    for (int k = 0; k < 10; ++k)
      for (std::size_t i = 0; i < 10; ++i)
        p.serve(i, 5000.0, false, 1_s);
    CHECK(p.review(1_s) == 0);
  }

  TEST_CASE("at most the permitted fraction is ejected, the worst first") {
    CHECK(rc::check([] {
      pool p{static_cast<std::size_t>(*rc::gen::inRange(1, 30))};
      for (std::size_t i = 0; i < p.members.size(); ++i) {
        const double observed = *rc::gen::inRange(50, 5000);
        for (int k = 0; k < 8; ++k)
          p.serve(i, observed, false, 1_s);
      }
      (void)p.review(1_s);
      const health_policy policy;
      const std::size_t ejected = p.count(endpoint_state::ejected);
      RC_ASSERT(static_cast<double>(ejected) <=
                policy.max_ejected * static_cast<double>(p.members.size()));
      for (const endpoint_health& out : p.members)
        for (const endpoint_health& in : p.members)
          if (out.state == endpoint_state::ejected && in.state == endpoint_state::serving)
            RC_ASSERT(slowness(out) >= slowness(in));
    }));
  }

  TEST_CASE("a replica that returns errors is ejected only while its peers do not") {
    pool p{6};
    for (int k = 0; k < 10; ++k)
      for (std::size_t i = 0; i < 6; ++i)
        p.serve(i, 100.0, i == 0, 1_s);
    CHECK(p.review(1_s) == 1);
    CHECK(p.members[0].state == endpoint_state::ejected);
    pool all_fail{6};
    for (int k = 0; k < 10; ++k)
      for (std::size_t i = 0; i < 6; ++i)
        all_fail.serve(i, 100.0, true, 1_s);
    CHECK(all_fail.review(1_s) == 0);
  }
}
