#include "routing/impl/stop_policy.hpp"

#include <algorithm>

namespace sedgechute {

time_ms cut_after(const stop_bounds& bounds) noexcept {
  return std::max(bounds.grace - bounds.kept_for_exit, time_ms{0});
}

// A request that does not end in time is cut off in the middle of its response; if it is refused
// without running, its caller gets the whole response from another host unless that one stops too.
// Within the notice callers are still routed here, and many arrive, so a request that likely ends
// in time is accepted. Later ones could have used another host, so they are accepted only if they
// are certain to end in time.
bool may_take(const stop_bounds& bounds, time_ms since, const run_forecast& run) noexcept {
  return since + (since < bounds.notice ? run.likely : run.surely) <= cut_after(bounds);
}

// Until the notice is over, the load balancer sends callers here although other hosts have room.
// Later it does so only if it knows no better host, and then serving what ends in time is better
// than refusing it.
bool may_end(const stop_bounds& bounds, time_ms since, std::size_t open) noexcept {
  const time_ms cut = cut_after(bounds);
  return since >= cut || (open == 0 && since >= bounds.notice);
}

// A tenth remains unallocated, because each step detects its timeout some milliseconds late. On a
// machine that stalled the exit begins late; full-length steps would exceed the grace, and the last
// log lines would be lost.
exit_timeouts exit_timeouts_for(const stop_bounds& bounds, time_ms since) noexcept {
  constexpr std::int64_t parts = 20;
  const time_ms left = std::max(bounds.grace - since, time_ms{0});
  const time_ms kept = std::min(bounds.grace - cut_after(bounds), left);
  const auto part = [kept](std::int64_t of) { return time_ms{kept.count() * of / parts}; };
  return {part(4), part(10), part(4)};
}

stop_fault fault_of(const stop_bounds& bounds) noexcept {
  if (bounds.kept_for_exit >= bounds.grace)
    return stop_fault::no_time;
  return bounds.notice > cut_after(bounds) ? stop_fault::notice_too_long : stop_fault::none;
}

} // namespace sedgechute
