#include "relay/impl/silence_rules.hpp"

namespace sedgechute {

// Endpoints that fall silent together were last heard at slightly different times, by up to the
// pause between two events. Only bytes from the last part of a silence show that others go on.
time_ms activity_window(time_ms silent_for) noexcept {
  constexpr std::int64_t parts = 3;
  return time_ms{silent_for.count() / parts};
}

time_ms silence_check_interval() noexcept {
  return time_ms{100};
}

// While most of the endpoints in use are silent, a second run would wait as long as the first, and
// the first goes on sooner, as its prompt has been read. With nothing heard of the others, sending
// the request to one of them is the only way to find out.
silence_decision decide_on_silence(const silent_send& of) noexcept {
  if (of.silent_for < of.stall_after)
    return silence_decision::too_short;
  if (!of.may_run_again)
    return silence_decision::runs_once;
  if (of.time_left <= time_ms{0})
    return silence_decision::no_time;
  const bool others_silent = of.silent > 0 && of.silent >= of.unused;
  if (of.heard == 0 && others_silent)
    return silence_decision::all_silent;
  return of.retry_left ? silence_decision::send_beside : silence_decision::no_retry;
}

} // namespace sedgechute
