// A host whose connections are all taken by callers that send nothing.

#include "entry_program.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

using namespace sedgechute;

namespace {

constexpr int connections = 16;
const std::string full_host =
    R"("grace_s":4,"max_connections":)" + std::to_string(connections) + R"(,"stall_ms":500)";

/// \brief Checks that a caller is served although others have sent only `begun` and wait.
void check_makes_room(const std::string& begun) {
  scripted_endpoint endpoint{answers("ok")};
  entry_program host{full_host};
  host.add_endpoint("e1", endpoint.address());
  REQUIRE(host.ready());
  const steady_clock time;
  std::vector<std::unique_ptr<connection>> silent;
  for (int i = 0; i < connections + 4; ++i) {
    silent.push_back(connect_to(host.callers(), time_ms{1000}, time).link);
    REQUIRE(silent.back());
    (void)silent.back()->write_all(begun, time.now() + time_ms{1000});
  }
  CHECK(host.ask("safe", "first").first == 200);
  CHECK(host.ask("unsafe", "second").first == 200);
}

} // namespace

// Idle callers must not keep others out until their time limit of many seconds.
TEST_CASE("a host whose connections are all idle makes room for another caller") {
  check_makes_room("");
}

TEST_CASE("a host whose connections all wait for the rest of a request makes room for another") {
  check_makes_room("POST /safe/ HTTP/1.1\r\nHost: f\r\nAuthorization: Token k\r\n"
                   "Content-Length: 400\r\n\r\nb");
}
