#include "relay/impl/silence_rules.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

// So many silent endpoints stand for all of a service, however many others this host does not use.
constexpr std::size_t sample_of_endpoints = 3;

} // namespace

// Endpoints that fall silent together were last heard at slightly different times, by up to the
// pause between two events. Only bytes from the last part of a silence show that others go on.
time_ms activity_window(time_ms silent_for) noexcept {
  constexpr std::int64_t parts = 3;
  return time_ms{silent_for.count() / parts};
}

time_ms silence_check_interval() noexcept {
  return time_ms{100};
}

// While all endpoints in use are silent, a second run would wait as long as the first, and the
// first goes on sooner, as its prompt has been read. Where hardly any other is in use, sending the
// request to one of them is the only way to find out whether it is silent as well. Endpoints that
// were silent together go on together, but not within the same millisecond.
silence_decision decide_on_silence(const silent_send& of) noexcept {
  if (of.silent_for < of.stall_after)
    return silence_decision::too_short;
  if (!of.may_run_again)
    return silence_decision::runs_once;
  if (of.time_left <= time_ms{0})
    return silence_decision::no_time;
  const bool others_silent = of.silent > 0 && of.silent >= std::min(of.unused, sample_of_endpoints);
  if (of.heard == 0 && others_silent)
    return silence_decision::all_silent;
  if (of.all_were_silent)
    return silence_decision::others_back;
  return of.retry_left ? silence_decision::send_beside : silence_decision::no_retry;
}

bool is_fault_of_one(silence_decision decision) noexcept {
  return decision == silence_decision::send_beside || decision == silence_decision::no_retry ||
         decision == silence_decision::no_endpoint;
}

} // namespace sedgechute
