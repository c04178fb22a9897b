// Streams that callers take up after all hosts were lost at once, and with them all records, while
// two builds were in service or one of them had just left.

#include "relay/relay.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

const std::string service = "s";

endpoint_entry entry_of(const std::string& id, const std::string& build) {
  endpoint_entry entry{endpoint_id{id}, service, "127.0.0.1:1", data_centre_id{"dc"}, 8, false};
  entry.version = build;
  return entry;
}

/// How the endpoint of the older build appears in the list that new hosts read.
enum class older_entry {
  listed,        ///< from the first read on, for good
  gone,          ///< it has left before
  late,          ///< its entry is missing at first, as the store was away
  for_a_moment,  ///< it leaves after the first read
  between_reads, ///< it is listed and leaves between two reads
};

/// Two new hosts that know of a service what they have read since they started at time 0. A stream
/// of the build `v1` began before.
struct new_hosts {
  explicit new_hosts(older_entry how) : older{how} {
    for (endpoint_directory* host : {&a, &b}) {
      host->begin_list();
      host->put(entry_of("new", "v2"));
      if (how == older_entry::listed || how == older_entry::for_a_moment)
        host->put(entry_of("old", "v1"));
    }
  }

  /// \brief Lets a host read the list later on.
  void read(endpoint_directory& host) const {
    if (older == older_entry::late)
      host.put(entry_of("old", "v1"));
    if (older == older_entry::for_a_moment)
      host.remove(endpoint_id{"old"});
    if (older == older_entry::between_reads)
      host.note_listed(entry_of("old", "v1"));
  }

  older_entry older;
  manual_clock time;
  endpoint_directory a{data_centre_id{"dc"}, choice_weights{}, time};
  endpoint_directory b{data_centre_id{"dc"}, choice_weights{}, time};
};

/// \returns the build at which a host that finds no record goes on with a stream
std::optional<build_hash> build_for(const endpoint_directory& host, const route& on,
                                    const caller_patience& callers, std::optional<time_ms> patience,
                                    time_ms now) {
  const auto sole = [&]() -> std::optional<build_hash> {
    const auto age = max_stream_age(on, patience, callers.longest("r", "team"));
    return age ? host.sole_build(service, now - *age) : std::nullopt;
  };
  return decide_resume({}, sole, [](build_hash) { return true; }).build;
}

} // namespace

// Guards against a stream that goes on at the build that was left: its caller tries for longer than
// the timeout of its route, which was lowered, or is shorter than the time that callers wait.
TEST_CASE("no stream goes on at another build after all hosts were lost at once") {
  CHECK(rc::check([] {
    new_hosts fleet{*rc::gen::element(older_entry::listed, older_entry::gone, older_entry::late,
                                      older_entry::for_a_moment, older_entry::between_reads)};
    route on;
    on.timeout = time_ms{*rc::gen::element<std::int64_t>(1500, 2000, 12000)};
    // The caller began before the hosts started, and tries until its time is over.
    const time_ms waits = time_ms{on.timeout.count() * *rc::gen::element(1, 2, 5, 30)};
    caller_patience callers;
    if (*rc::gen::arbitrary<bool>())
      callers.note("r", "team", waits);
    const int steps = *rc::gen::element(1, 5, 20, 100);
    const int late_read = *rc::gen::inRange(0, steps + 1);
    for (int step = 0; step <= steps; ++step) {
      if (step == late_read) {
        fleet.read(fleet.a);
        fleet.read(fleet.b);
      }
      const time_ms left = waits - fleet.time.now();
      // The caller's host, and one that it forwards the request to.
      for (const endpoint_directory* host : {&fleet.a, &fleet.b})
        for (const auto patience : {std::optional{left}, std::optional{time_ms{left.count() / 2}},
                                    std::optional<time_ms>{}})
          RC_ASSERT(!build_for(*host, on, callers, patience, fleet.time.now()));
      fleet.time.advance(time_ms{waits.count() / steps});
    }
  }));
}

// Guards against refusing streams of services that have had one build for long.
TEST_CASE("a stream goes on at the only build that its service has had for long") {
  new_hosts fleet{older_entry::gone};
  route on;
  on.timeout = time_ms{2000};
  fleet.time.advance(time_ms{120000});
  caller_patience callers;
  callers.note("r", "team", on.timeout);
  CHECK(build_for(fleet.a, on, callers, on.timeout, fleet.time.now()) == build_of(service, "v2"));
}
