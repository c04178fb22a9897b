#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

TEST_SUITE("stalls") {
  const stall_policy policy;

  TEST_CASE("a new connection distinguishes a silent connection from a dead endpoint") {
    // A response stops in the middle and never ends. The engine is healthy and new connections
    // work: a middlebox has dropped this connection.
    stall_watch watch{stall_stage::between_bytes, time_ms{0}, false, {}, 0};
    CHECK(check_stall(watch, policy, probe_result::pending, 4999_ms).step == stall_step::wait);
    CHECK(check_stall(watch, policy, probe_result::pending, 5000_ms).step == stall_step::probe);
    CHECK(check_stall(watch, policy, probe_result::pending, 5100_ms).step == stall_step::wait);
    stall_watch dead = watch;
    CHECK(check_stall(watch, policy, probe_result::run_known, 5200_ms).step ==
          stall_step::reconnect);
    CHECK(check_stall(dead, policy, probe_result::failed, 5200_ms).step == stall_step::give_up);
  }

  TEST_CASE("the endpoint is given up when a probe times out") {
    stall_watch watch{stall_stage::first_byte, time_ms{0}, false, {}, 0};
    CHECK(check_stall(watch, policy, probe_result::pending, 5_s).step == stall_step::probe);
    CHECK(check_stall(watch, policy, probe_result::pending, 6499_ms).step == stall_step::wait);
    CHECK(check_stall(watch, policy, probe_result::pending, 6500_ms).step == stall_step::give_up);
  }

  TEST_CASE("bytes received during a probe cancel the stall") {
    stall_watch watch{stall_stage::between_bytes, time_ms{0}, false, {}, 0};
    CHECK(check_stall(watch, policy, probe_result::pending, 5_s).step == stall_step::probe);
    note_bytes(watch, 5100_ms);
    CHECK(check_stall(watch, policy, probe_result::answered, 5200_ms).step == stall_step::wait);
  }

  TEST_CASE("a connect that hangs fails without a probe") {
    stall_watch watch;
    CHECK(check_stall(watch, policy, probe_result::pending, 999_ms).step == stall_step::wait);
    CHECK(check_stall(watch, policy, probe_result::pending, 1_s).step == stall_step::give_up);
  }

  TEST_CASE("the attempt fails after repeated silent connections") {
    stall_watch watch{stall_stage::between_bytes, time_ms{0}, false, {}, 0};
    time_ms now{0};
    for (std::uint32_t i = 0; i < policy.max_resumes; ++i) {
      now += 5_s;
      CHECK(check_stall(watch, policy, probe_result::pending, now).step == stall_step::probe);
      CHECK(check_stall(watch, policy, probe_result::answered, now).step == stall_step::reconnect);
    }
    now += 5_s;
    CHECK(check_stall(watch, policy, probe_result::pending, now).step == stall_step::probe);
    CHECK(check_stall(watch, policy, probe_result::answered, now).step == stall_step::give_up);
  }
}
