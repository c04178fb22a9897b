#include "gateway/impl/unfinished_requests.hpp"

namespace sedgechute {

namespace {

// Refused callers come back; until then those that are silent have given way.
constexpr time_ms shortage{1000};

} // namespace

void unfinished_requests::resize(held_bytes::guard& body, std::size_t bytes) {
  if (body.resize(bytes))
    return;
  short_until_ = (time_.now() + shortage).count();
  throw error{error_kind::no_capacity, "host",
              "the bodies of unfinished requests take up the memory of this host"};
}

bool unfinished_requests::gives_way(time_ms silent_since) noexcept {
  const time_ms now = time_.now();
  if (now - silent_since < stall_ || (now.count() >= short_until_ && !callers_wait_()))
    return false;
  ++yielded_;
  return true;
}

} // namespace sedgechute
