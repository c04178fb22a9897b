#include "intake/intake.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace sedgechute;

namespace {

constexpr time_ms stall{2000};
constexpr time_ms now{10000};

std::optional<int> chosen(const std::vector<waiting_connection>& waiting,
                          eviction_scope wanted = eviction_scope::any_connection) {
  return choose_eviction(waiting, wanted, now, stall);
}

} // namespace

// A caller must not prevent its eviction with a byte now and then.
TEST_CASE("only bytes in some number count as progress") {
  arrival_progress request{time_ms{0}};
  for (int i = 1; i < 512; ++i)
    request.note(1, time_ms{i});
  CHECK(request.last() == time_ms{0});
  request.note(1, time_ms{512});
  CHECK(request.last() == time_ms{512});
  CHECK(request.began() == time_ms{0});
}

TEST_CASE("the connection that has been silent longest is evicted, unfinished requests first") {
  const waiting_connection idle{1, wait_stage::next_request, time_ms{0}};
  const waiting_connection newcomer{2, wait_stage::first_request, time_ms{10}};
  const waiting_connection refused{3, wait_stage::end_of_refused, time_ms{20}};
  const waiting_connection unfinished{4, wait_stage::rest_of_request, time_ms{40}};
  const waiting_connection older{5, wait_stage::rest_of_request, time_ms{30}};
  CHECK(chosen({idle, newcomer, refused, unfinished, older}) == 5);
  CHECK(chosen({idle, newcomer, refused}) == 3);
  CHECK(chosen({idle, newcomer}) == 2);
  CHECK(chosen({idle}) == 1);
  CHECK_FALSE(chosen({}));
}

TEST_CASE("no connection that sends is evicted, and for a body only unfinished requests are") {
  const waiting_connection sends{1, wait_stage::rest_of_request, now - stall + time_ms{1}};
  const waiting_connection stalls{2, wait_stage::rest_of_request, now - stall};
  const waiting_connection idle{3, wait_stage::next_request, time_ms{0}};
  CHECK_FALSE(chosen({sends}));
  CHECK(chosen({sends, stalls}) == 2);
  CHECK_FALSE(chosen({sends, idle}, eviction_scope::unfinished_requests));
  CHECK(chosen({sends, idle}) == 3);
}

// Many stalled connections must not keep a few callers out.
TEST_CASE("stalled connections are evicted one after the other") {
  std::vector<waiting_connection> waiting;
  for (int i = 0; i < 300; ++i)
    waiting.push_back({i, wait_stage::rest_of_request, time_ms{i}});
  for (int caller = 0; caller < 300; ++caller) {
    const auto evicted = chosen(waiting, eviction_scope::unfinished_requests);
    REQUIRE(evicted == caller);
    std::erase_if(waiting, [&](const waiting_connection& one) { return one.id == *evicted; });
  }
  CHECK_FALSE(chosen(waiting));
}

TEST_CASE("a buffer of unknown size doubles up to the maximum and holds what is needed") {
  CHECK(grown_capacity(100, 100, 4000) == 100);
  CHECK(grown_capacity(100, 101, 4000) == 200);
  CHECK(grown_capacity(100, 900, 4000) == 900);
  CHECK(grown_capacity(3000, 3001, 4000) == 4000);
}

// With many connections the kernel would hold more than the machine has.
TEST_CASE("with many connections the receive buffer of further ones is small") {
  const receive_bounds bounds{.usual_bytes = 12000, .reduced_bytes = 6000, .usual_connections = 10};
  CHECK(receive_buffer(bounds, 9) == 12000);
  CHECK(receive_buffer(bounds, 10) == 6000);
  CHECK(receive_buffer({.usual_bytes = 4000, .reduced_bytes = 6000, .usual_connections = 10}, 10) ==
        4000);
}
