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

// Endpoints fall silent for 1 to 2 s, together, and go on. Where none is heard, a second one may be
// as silent, and the answer of the first, whose connection is closed soon after the second send,
// would be lost. Half of the patience is left for the second endpoint.
time_ms unheard_timeout(time_ms patience) noexcept {
  constexpr time_ms longest{1700}; // the first connection is open until 2 s
  return std::min(longest, time_ms{patience.count() / 2});
}

// Two endpoints may work on a request for 400 ms. The rest is for a busy host to close the first
// connection, and for the first endpoint to notice it.
time_ms max_overlap() noexcept {
  return time_ms{300};
}

// With the overlap, an endpoint has 600 ms more than the first of those that were silent with it.
time_ms others_back_wait() noexcept {
  return time_ms{300};
}

// While all endpoints in use are silent, a second run would wait as long as the first, and the
// first goes on sooner, as its prompt has been read. Where hardly any other is in use, sending the
// request to one of them is the only way to find out whether it is silent as well. As the first
// connection is closed soon after, this is done later than where others are heard. Endpoints that
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
  if (of.heard == 0 && of.silent_for < of.unheard_after)
    return silence_decision::none_heard;
  return of.retry_left ? silence_decision::send_beside : silence_decision::no_retry;
}

bool is_fault_of_one(silence_decision decision) noexcept {
  return decision == silence_decision::send_beside || decision == silence_decision::no_retry ||
         decision == silence_decision::no_endpoint || decision == silence_decision::none_heard;
}

} // namespace sedgechute
