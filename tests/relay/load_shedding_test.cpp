#include "relay/relay.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;

namespace {

constexpr time_ms interval{50};

/// A host whose threads wake up later the more work is waiting. Refused requests add no work.
class host_model {
 public:
  /// \param load  offered work as a fraction of the processor's capacity
  void run(double load, time_ms span) {
    for (time_ms at{}; at < span; at += interval) {
      const double taken = load * (1 - shedding.refused_fraction());
      waiting_ms_ =
          std::max(0.0, waiting_ms_ + (taken - 1) * static_cast<double>(interval.count()));
      const double late = std::min(waiting_ms_ / 10, 40.0) + (taken > 0.9 ? 1.0 : 0.0);
      shedding.note_wake_up(time_ms{static_cast<std::int64_t>(late)}, interval);
    }
  }

  load_shedding shedding{shedding_options{}};

  [[nodiscard]] double waiting_ms() const noexcept { return waiting_ms_; }

 private:
  double waiting_ms_{0}; ///< processor time of accepted work that has not been done
};

} // namespace

// With ten requests a second on a host that can serve a hundred, threads wake up within a
// millisecond, and nothing is refused.
TEST_CASE("a host below its capacity refuses nothing") {
  host_model host;
  host.run(0.5, time_ms{20000});
  CHECK(host.shedding.refused_fraction() == 0);
  CHECK_FALSE(host.shedding.busy());
}

// The balancer sends a caller with half of the requests of its data centre to one small host: twice
// its capacity for as long as the caller stays. Half of the requests must soon go elsewhere, and
// the accepted ones must not queue up.
TEST_CASE("a host at twice its capacity refuses half within seconds") {
  host_model host;
  host.run(2.0, time_ms{2000});
  CHECK(host.shedding.refused_fraction() > 0.3);
  CHECK(host.shedding.busy());
  host.run(2.0, time_ms{8000});
  CHECK(host.shedding.refused_fraction() > 0.4);
  CHECK(host.shedding.refused_fraction() < 0.75);
  CHECK(host.waiting_ms() < 200);
}

TEST_CASE("a busy host accepts all requests again soon after the load ends") {
  host_model host;
  host.run(3.0, time_ms{5000});
  REQUIRE(host.shedding.busy());
  host.run(0.2, time_ms{6000});
  CHECK(host.shedding.refused_fraction() == 0);
  CHECK_FALSE(host.shedding.busy());
}

// A machine was paused for four seconds. It is not overloaded when it continues.
TEST_CASE("one late wake-up causes few refusals") {
  load_shedding shedding{shedding_options{}};
  shedding.note_wake_up(time_ms{4000}, time_ms{4050});
  CHECK(shedding.refused_fraction() <= 0.4);
  for (int i = 0; i < 60; ++i)
    shedding.note_wake_up(time_ms{0}, interval);
  CHECK(shedding.refused_fraction() < 0.2);
}

TEST_CASE("some requests are always accepted") {
  load_shedding shedding{shedding_options{}};
  for (int i = 0; i < 1000; ++i)
    shedding.note_wake_up(time_ms{90}, time_ms{140});
  CHECK(shedding.refused_fraction() <= 0.9);
}
