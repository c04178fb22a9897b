#include "routing/impl/stop_policy.hpp"

#include <algorithm>

namespace sedgechute {

time_ms cut_after(const stop_bounds& bounds) noexcept {
  return std::max(bounds.grace - bounds.kept_for_exit, time_ms{0});
}

// A request that cannot end in time would be cut in the middle of its answer; refused unrun, its
// caller gets the whole answer from another host, if that one does not stop as well. Within the
// notice callers had no choice, and many come: what likely ends in time is taken. Whoever comes
// later could have gone elsewhere, and is taken only if the answer is sure to be whole.
bool may_take(const stop_bounds& bounds, time_ms since, const run_forecast& run) noexcept {
  return since + (since < bounds.notice ? run.likely : run.surely) <= cut_after(bounds);
}

// Until the notice is over callers are sent here although others have room. Later they come only
// when the balancer knows no better host; then whatever ends in time is better served than refused.
bool may_end(const stop_bounds& bounds, time_ms since, std::size_t open) noexcept {
  const time_ms cut = cut_after(bounds);
  return since >= cut || (open == 0 && since >= bounds.notice);
}

// A tenth is left: each step notices its end some milliseconds late. A machine that stood still
// comes here late; steps as long as ever would outlast the grace, and the log's last lines be lost.
exit_spans spans_of_exit(const stop_bounds& bounds, time_ms since) noexcept {
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
