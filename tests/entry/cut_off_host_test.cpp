// Two hosts as processes, of which one reaches no endpoint while callers reach both.

#include "entry_program.hpp"
#include "silent_address.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace sedgechute;

namespace {

constexpr int endpoint_count = 3;

/// \returns an address that refuses connections
std::string refusing_address() {
  return "127.0.0.1:" + std::to_string(fleet_test::free_port());
}

/// Two hosts that list the same endpoints; the first knows the second and has no path to them.
struct split_fleet {
  /// \param cut_address  address at which the first host looks for each endpoint
  explicit split_fleet(const std::vector<std::string>& cut_addresses) {
    for (int i = 0; i < endpoint_count; ++i) {
      endpoints.push_back(std::make_unique<scripted_endpoint>(
          [](const scripted_endpoint::seen_request& request) -> scripted_reply {
            if (request.head.target.find("/stream/") != std::string::npos)
              return {stream_head(attempt_of(request)) + event_chunk(1) + event_chunk(2) +
                          "0\r\n\r\n",
                      scripted_reply::then::keep, ""};
            return {whole_answer(attempt_of(request), "ok"), scripted_reply::then::keep, ""};
          }));
      const std::string id = "e" + std::to_string(i);
      cut.add_endpoint(id, cut_addresses.at(i));
      sound.add_endpoint(id, endpoints.back()->address());
    }
    REQUIRE(cut.ready());
    REQUIRE(sound.ready());
  }

  [[nodiscard]] std::size_t runs() const {
    std::size_t all = 0;
    for (const auto& one : endpoints)
      all += one->seen().size();
    return all;
  }

  std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
  entry_program sound{R"("grace_s":4)"};
  entry_program cut{R"("grace_s":4)", log_reader::reads, {}, sound.peers()};
};

} // namespace

// Callers of a host that had lost its paths to all endpoints were refused until the paths were
// back, although other hosts reached the endpoints.
TEST_CASE("a host whose connections to all endpoints are refused serves its callers") {
  split_fleet fleet{{refusing_address(), refusing_address(), refusing_address()}};
  CHECK(fleet.cut.ask("safe", "a1").first == 200);
  CHECK(fleet.cut.ask("unsafe", "a2").first == 200);
  const auto [status, body] = fleet.cut.ask("stream", "a3");
  CHECK(status == 200);
  CHECK(body.ends_with(event_chunk(2) + "0\r\n\r\n"));
  CHECK(fleet.runs() == 3);
}

TEST_CASE("a host whose connections to all endpoints hang serves its callers") {
  const std::vector<silent_address> silent(endpoint_count);
  split_fleet fleet{{silent[0].address(), silent[1].address(), silent[2].address()}};
  CHECK(fleet.cut.ask("unsafe", "a1").first == 200);
  CHECK(fleet.cut.ask("safe", "a2").first == 200);
  CHECK(fleet.runs() == 2);
}
