#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::literals;

TEST_SUITE("stalls") {
  const stall_policy policy;

  TEST_CASE(
      "a connection that went silent is told from an endpoint that died by a new connection") {
    // A chat stops in the middle of a sentence and never ends. The engine is well, and new
    // connections work: something between the two ends has forgotten this one.
    stall_watch watch{stall_stage::between_bytes, time_ms{0}, false, {}, 0};
    CHECK(check_stall(watch, policy, probe_result::pending, 4999_ms).step == stall_step::wait);
    CHECK(check_stall(watch, policy, probe_result::pending, 5000_ms).step == stall_step::probe);
    CHECK(check_stall(watch, policy, probe_result::pending, 5100_ms).step == stall_step::wait);
    stall_watch dead = watch;
    CHECK(check_stall(watch, policy, probe_result::run_known, 5200_ms).step ==
          stall_step::reconnect);
    CHECK(check_stall(dead, policy, probe_result::failed, 5200_ms).step == stall_step::give_up);
  }

  TEST_CASE("a probe without an answer gives the endpoint up after its own time") {
    stall_watch watch{stall_stage::first_byte, time_ms{0}, false, {}, 0};
    CHECK(check_stall(watch, policy, probe_result::pending, 5_s).step == stall_step::probe);
    CHECK(check_stall(watch, policy, probe_result::pending, 6499_ms).step == stall_step::wait);
    CHECK(check_stall(watch, policy, probe_result::pending, 6500_ms).step == stall_step::give_up);
  }

  TEST_CASE("a byte during the probe ends the suspicion") {
    stall_watch watch{stall_stage::between_bytes, time_ms{0}, false, {}, 0};
    CHECK(check_stall(watch, policy, probe_result::pending, 5_s).step == stall_step::probe);
    note_bytes(watch, 5100_ms);
    CHECK(check_stall(watch, policy, probe_result::answered, 5200_ms).step == stall_step::wait);
  }

  TEST_CASE("a connect that hangs needs no probe") {
    stall_watch watch;
    CHECK(check_stall(watch, policy, probe_result::pending, 999_ms).step == stall_step::wait);
    CHECK(check_stall(watch, policy, probe_result::pending, 1_s).step == stall_step::give_up);
  }

  TEST_CASE("connections that go silent again and again end the attempt") {
    stall_watch watch{stall_stage::between_bytes, time_ms{0}, false, {}, 0};
    time_ms now{0};
    for (std::uint32_t i = 0; i < policy.most_resumes; ++i) {
      now += 5_s;
      CHECK(check_stall(watch, policy, probe_result::pending, now).step == stall_step::probe);
      CHECK(check_stall(watch, policy, probe_result::answered, now).step == stall_step::reconnect);
    }
    now += 5_s;
    CHECK(check_stall(watch, policy, probe_result::pending, now).step == stall_step::probe);
    CHECK(check_stall(watch, policy, probe_result::answered, now).step == stall_step::give_up);
  }
}
