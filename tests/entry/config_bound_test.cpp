// Changes of the configuration are in force on a host two seconds after the store took them, also
// when the store's word of them is lost.

#include "entry_program.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

constexpr time_ms bound{2000};
constexpr time_ms given_up{6000};
constexpr int unknown_path = 404;

const std::string config_topic{"keyed.op"};
const std::string config_key{"config"};

/// \returns the status of the answer; 0 without one
int ask(const std::string& address, const std::string& request) {
  const steady_clock time;
  const time_ms until = time.now() + time_ms{5000};
  const auto link = connect_to(address, time_ms{1000}, time).link;
  std::string head;
  if (!link || link->write_all(request, until) != io_status::ok ||
      link->read_head(head, 8192, until) != io_status::ok)
    return 0;
  return parse_response_head(head)->status;
}

/// \returns how long the host answers that it knows no route of this name
time_ms until_known(const entry_program& host, const std::string& name) {
  const steady_clock time;
  const time_ms since = time.now();
  for (int tries = 0; time.now() - since < given_up; ++tries) {
    const int status = ask(host.callers(), entry_request(name, name + '-' + std::to_string(tries)));
    if (status != unknown_path && status != 0)
      break;
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
  }
  return time.now() - since;
}

} // namespace

// A version was written just as the wait of an earlier look ended, and the store did not answer the
// looks of some hosts that waited then. They went on with the version before for as long as they
// had asked the store to wait, three seconds: a key that had been taken away was let in 2.1 s after
// the store had taken the change.
TEST_CASE("a change is in force in time although the store does not tell the host of it") {
  entry_program host{R"("grace_s":4)"};
  REQUIRE(host.ready());
  for (std::uint64_t round = 1; round <= 3; ++round) {
    const std::string told = "told" + std::to_string(round);
    const std::string untold = "untold" + std::to_string(round);
    host.store().put(config_topic, config_key, entry_program::with_route(10 * round, told));
    CHECK(until_known(host, told) < bound);
    host.store().put_unnoticed(config_topic, config_key,
                               entry_program::with_route(10 * round + 1, untold));
    CHECK(until_known(host, untold) < bound);
  }
}

// All open connections go silent for good, that of a waiting look too, while new ones work. Only a
// time-out shows it, and it has to come soon enough for the change after it.
TEST_CASE("a change is in force in time although the connection to the store has gone silent") {
  entry_program host{R"("grace_s":4)"};
  REQUIRE(host.ready());
  host.store().put(config_topic, config_key, entry_program::with_route(10, "told"));
  REQUIRE(until_known(host, "told") < bound);
  std::this_thread::sleep_for(std::chrono::milliseconds{2000}); // its next look waits
  REQUIRE(ask(host.store().server().address().toString(),
              "POST /admin/faults HTTP/1.1\r\nHost: s\r\nContent-Length: 15\r\n\r\n"
              R"({"silent":true})") == 200);
  host.store().put(config_topic, config_key, entry_program::with_route(11, "added"));
  CHECK(until_known(host, "added") < bound);
}
