#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

failed_so_far failed_once() {
  failed_so_far request;
  request.most_attempts = 3;
  return request;
}

} // namespace

TEST_CASE("a request that did not run may be tried again, as often as it may be at all") {
  failed_so_far request = failed_once();
  CHECK(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::no_capacity);
  request.attempts = 2;
  CHECK(may_attempt_again(request));
  request.attempts = 3;
  CHECK_FALSE(may_attempt_again(request));
}

// An endpoint is lost after it has booked an order and before it could say so.
TEST_CASE("what may have run is tried again only where a second run does no harm") {
  failed_so_far request = failed_once();
  request.may_have_run = true;
  CHECK_FALSE(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::outcome_unknown);
  request.harmless_twice = true;
  CHECK(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::endpoint_failed);
}

// Half of an answer is with the caller. A second run words the other half differently.
TEST_CASE("no other run follows a part of an answer") {
  failed_so_far request = failed_once();
  request.may_have_run = true;
  request.harmless_twice = true;
  request.answer_begun = true;
  CHECK_FALSE(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::stream_cut);
}
