#include "admission/admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <vector>

using namespace sedgechute;

namespace {

constexpr event_bounds usual{time_ms{200}, time_ms{300}};
constexpr double target_ms = 3; // of wake-up delays

struct result {
  double delay_ms{}; ///< mean wake-up delay in the last ten seconds
  time_ms held;      ///< longest time that an event was held back
};

/// Streams with an event each 27 ms. Their threads take turns on a processor for which a wake-up
/// per event is `load` times too much; each further event of a group costs a tenth of that.
result play(double load, const event_bounds& bounds) {
  constexpr std::size_t streams = 60;
  constexpr std::int64_t event_interval = 27;
  constexpr std::int64_t sample_interval = 50;
  constexpr std::int64_t length = 20000;
  constexpr double smoothing_ms = 300;
  struct stream {
    std::int64_t first_event{0}; ///< of those that wait
    int events{0};
    std::int64_t waits_until{0};
    bool queued{false};
  };
  std::vector<stream> all(streams);
  std::deque<std::size_t> queue; // threads that wait for the processor
  const double wake_up_ms = load * event_interval / streams;
  double spare_ms = 0;
  double delay = 0;
  event_grouping grouping;
  result got;
  for (std::int64_t now = 0; now < length; ++now) {
    for (std::size_t i = 0; i < streams; ++i) {
      stream& one = all[i];
      if ((now + static_cast<std::int64_t>(i)) % event_interval == 0 && ++one.events == 1)
        one.first_event = now;
      if (one.events == 0 || one.queued || now < one.waits_until)
        continue;
      got.held = std::max(got.held, time_ms{now - one.first_event});
      one.queued = true;
      queue.push_back(i);
    }
    for (spare_ms = std::min(spare_ms + 1, 1.0); spare_ms > 0 && !queue.empty();
         queue.pop_front()) {
      stream& one = all[queue.front()];
      spare_ms -= wake_up_ms * (0.9 + 0.1 * one.events);
      one = {.waits_until = now + event_delay(grouping.level(), bounds).count()};
    }
    const double waits = std::min(static_cast<double>(queue.size()) * wake_up_ms, 20.0);
    delay += (waits - delay) * (1 - std::exp(-1 / smoothing_ms));
    if (now % sample_interval == 0)
      grouping.note_delay(delay / target_ms, time_ms{sample_interval});
    got.delay_ms += now >= length / 2 ? delay * 2 / length : 0;
  }
  return got;
}

} // namespace

// Guards against a host that refuses requests while its streams wake it up once per event.
TEST_CASE("at 1.5 times its load a processor keeps up by grouping events within their bound") {
  CHECK(play(1.5, {time_ms{0}, time_ms{300}}).delay_ms > target_ms);
  const result grouped = play(1.5, usual);
  CHECK(grouped.delay_ms <= target_ms);
  CHECK(grouped.held <= time_ms{50});
}

// Guards against streams that are delayed although the processor has time for each event.
TEST_CASE("a host that is not busy forwards each event at once") {
  CHECK(event_delay(0, usual) == time_ms{0});
  CHECK(play(0.3, usual).held == time_ms{0});
}

// Guards against events that come after the bound of the deployment or the pause of their route.
TEST_CASE("events are held back for at most a quarter of each bound") {
  CHECK(event_delay(1, usual) == time_ms{50});
  CHECK(event_delay(1, {time_ms{400}, time_ms{80}}) == time_ms{20});
  CHECK(event_delay(1, {time_ms{400}, time_ms{0}}) == time_ms{100});
  CHECK(event_delay(1, {time_ms{0}, time_ms{300}}) == time_ms{0});
}
