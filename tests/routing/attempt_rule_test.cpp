#include "routing/routing.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

failed_request failed_once() {
  failed_request request;
  request.max_attempts = 3;
  return request;
}

} // namespace

TEST_CASE("a request that did not run is retried up to the attempt limit") {
  failed_request request = failed_once();
  CHECK(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::no_capacity);
  request.attempts = 2;
  CHECK(may_attempt_again(request));
  request.attempts = 3;
  CHECK_FALSE(may_attempt_again(request));
}

// The endpoint fails after it has booked an order and before it could acknowledge it.
TEST_CASE("a request that may have run is retried only if a second run is safe") {
  failed_request request = failed_once();
  request.may_have_run = true;
  CHECK_FALSE(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::outcome_unknown);
  request.idempotent = true;
  CHECK(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::endpoint_failed);
}

// The caller has received half of a response. A second run would word the other half differently.
TEST_CASE("a request is not retried after part of its response was delivered") {
  failed_request request = failed_once();
  request.may_have_run = true;
  request.idempotent = true;
  request.response_started = true;
  CHECK_FALSE(may_attempt_again(request));
  CHECK(refusal_after(request) == error_kind::stream_cut);
}
