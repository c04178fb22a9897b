#include "relay/impl/stream_origin.hpp"

namespace sedgechute {

resume_decision decide_resume(const stream_build& recorded,
                              const std::function<std::optional<build_hash>()>& sole_build,
                              const std::function<bool(build_hash)>& serves) {
  resume_decision made;
  if (recorded.knowledge == stream_build::state::known)
    made = {resume_result::known, recorded.build};
  else if (recorded.knowledge == stream_build::state::unknown)
    if (const auto sole = sole_build())
      made = {resume_result::sole_build, sole};
  if (made.build && !serves(*made.build))
    made = {resume_result::gone, std::nullopt};
  return made;
}

// The route's timeout is the longest time that its callers are kept waiting. A caller that waits
// for longer may have begun the stream at any time.
std::optional<time_ms> max_stream_age(const route& on, std::optional<time_ms> patience) noexcept {
  constexpr time_ms margin{1000}; // for the way between a caller and its host
  if (!patience || *patience > on.timeout)
    return std::nullopt;
  return on.timeout + margin;
}

} // namespace sedgechute
