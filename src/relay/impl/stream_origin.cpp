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

// The route's timeout is the longest time that one attempt is kept waiting. A caller may try
// several times in a row, each time with all of it, so the attempt that began the stream may have
// ended for as long as its record would be kept. A caller that waits for longer than the route may
// have begun the stream at any time.
std::optional<time_ms> max_stream_age(const route& on, std::optional<time_ms> patience) noexcept {
  constexpr time_ms margin{1000}; // for the way between a caller and its host
  if (!patience || *patience > on.timeout)
    return std::nullopt;
  return on.timeout + taken_up_after_deadline + margin;
}

} // namespace sedgechute
