#include "gateway/impl/unfinished_requests.hpp"

namespace sedgechute {

namespace {

// Refused callers come back after some time; by then those that are silent have been evicted.
constexpr time_ms shortage{1000};

} // namespace

void unfinished_requests::resize(held_bytes::guard& body, std::size_t bytes) {
  if (body.resize(bytes))
    return;
  short_until_ = (time_.now() + shortage).count();
  throw error{error_kind::no_capacity, "host",
              "the bodies of unfinished requests take up the memory of this host"};
}

bool unfinished_requests::evicts(wait_stage stage, time_ms silent_since) noexcept {
  const time_ms now = time_.now();
  const bool short_of_memory = stage == wait_stage::rest_of_request && now.count() < short_until_;
  if (now - silent_since < stall_ || !(short_of_memory || callers_wait_()))
    return false;
  ++evicted_;
  return true;
}

} // namespace sedgechute
