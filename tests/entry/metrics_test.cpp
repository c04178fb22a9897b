#include "entry_program.hpp"

#include "telemetry/telemetry.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

constexpr time_ms list_is_read{5000}; // the list of endpoints is read several times in it

/// \returns the names of the program's metrics that a page lacks
std::string missing_from(const std::string& page) {
  std::string missing;
  for (const metric_family& family : metric_families())
    if (exports(metric_exporter::entry, family) &&
        page.find("# TYPE " + std::string{family.name} + " ") == std::string::npos)
      missing.append(family.name).append(" ");
  return missing;
}

} // namespace

// An operator's alert watches a metric of the list. It never fires, since nothing in the program
// ever sets that metric, or only the other program does.
TEST_CASE("every metric that the list gives to the program is exported by a running host") {
  scripted_endpoint endpoint{[](const scripted_endpoint::seen_request& request) -> scripted_reply {
    const std::string attempt = *request.head.fields.find("Attempt-Id");
    if (request.head.target.find("/once/") != std::string::npos)
      return {stream_head(attempt) + event_chunk(1) + "0\r\n\r\n", scripted_reply::then::keep, ""};
    std::string reply = whole_answer(attempt, "ok");
    reply.insert(reply.find("\r\n") + 2, "Instance-Load: 1,0,8,100\r\n");
    return {reply, scripted_reply::then::keep, ""};
  }};
  entry_program host{R"("grace_s":4)"};
  host.add_endpoint("e1", endpoint.address(), 1690000000000);
  REQUIRE(host.ready());
  CHECK(host.ask("safe", "a1").first == 200);
  CHECK(host.ask("once", "a2").first == 200);
  host.add_endpoint("e1", endpoint.address(), 1700000000000);
  host.store().put("keyed.servers", "e2", "no entry");
  std::string missing;
  const steady_clock time;
  const time_ms until = time.now() + list_is_read;
  do {
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    missing = missing_from(host.look_at("/metrics").second);
  } while (!missing.empty() && time.now() < until);
  CHECK_MESSAGE(missing.empty(), missing);
}
