// When a request waits for tokens, and for what.

#include "prepaid/impl/token_wait.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

constexpr time_ms longest{250};
constexpr time_ms now{1000};

} // namespace

TEST_CASE(
    "a request that neither the log nor its host's promise helps in time is refused at once") {
  CHECK_FALSE(wait_for_tokens({.now = now, .began = now, .patience = time_ms{300}}, longest));
  CHECK_FALSE(wait_for_tokens(
      {.now = now, .began = now, .covered_in = time_ms{301}, .patience = time_ms{300}}, longest));
}

TEST_CASE("a request of a host that is cut off waits until its promise covers it") {
  const auto wait = wait_for_tokens(
      {.now = now, .began = now, .covered_in = time_ms{300}, .patience = time_ms{300}}, longest);
  REQUIRE(wait);
  CHECK(wait->until == now + time_ms{300});
  CHECK_FALSE(wait->for_log);
}

// Waits for the log and for the promise add up, and a request is answered after its target.
TEST_CASE("patience counts from when a request began to wait") {
  CHECK_FALSE(wait_for_tokens({.now = now,
                               .began = now - time_ms{200},
                               .covered_in = time_ms{101},
                               .patience = time_ms{300}},
                              longest));
}

TEST_CASE("a request waits for one exchange at a time, and for few") {
  short_request request{.now = now, .began = now, .exchanges = 0};
  const auto first = wait_for_tokens(request, longest);
  REQUIRE(first);
  CHECK(first->for_log);
  CHECK(first->until == now + usual_exchange);
  request.exchanges = most_exchanges;
  CHECK_FALSE(wait_for_tokens(request, longest));
  request.exchanges = 1;
  request.began = now - longest;
  CHECK_FALSE(wait_for_tokens(request, longest));
}

TEST_CASE("a request that waits for the log is looked at again when its promise covers it") {
  const auto wait = wait_for_tokens({.now = now,
                                     .began = now,
                                     .exchanges = 0,
                                     .covered_in = time_ms{40},
                                     .patience = time_ms{300}},
                                    longest);
  REQUIRE(wait);
  CHECK(wait->for_log);
  CHECK(wait->until == now + time_ms{40});
}
