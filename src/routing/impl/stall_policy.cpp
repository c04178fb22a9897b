#include "routing/impl/stall_policy.hpp"

namespace sedgechute {

namespace {

time_ms allowed(const stall_policy& policy, stall_stage stage) noexcept {
  switch (stage) {
  case stall_stage::connect:
    return policy.connect;
  case stall_stage::first_byte:
    return policy.first_byte;
  case stall_stage::between_bytes:
    return policy.between_bytes;
  }
  return policy.between_bytes;
}

} // namespace

void note_bytes(stall_watch& watch, time_ms now) noexcept {
  watch.stage = stall_stage::between_bytes;
  watch.quiet_since = now;
  watch.probing = false;
}

// A silent connection may have been dropped by a middlebox while new connections work. Waiting on
// it would hang the caller forever, and giving up on the endpoint would discard a healthy run. Only
// a second connection distinguishes this from a dead endpoint.
stall_decision check_stall(stall_watch& watch, const stall_policy& policy, probe_result probe,
                           time_ms now) noexcept {
  const time_ms limit = watch.quiet_since + allowed(policy, watch.stage);
  if (!watch.probing) {
    if (now < limit)
      return {stall_step::wait, limit};
    // A probe could only show the same: no connection.
    if (watch.stage == stall_stage::connect)
      return {stall_step::give_up, now};
    watch.probing = true;
    watch.probe_started = now;
    return {stall_step::probe, now + policy.probe};
  }
  const bool late = now >= watch.probe_started + policy.probe;
  switch (probe) {
  case probe_result::pending:
    return late ? stall_decision{stall_step::give_up, now}
                : stall_decision{stall_step::wait, watch.probe_started + policy.probe};
  case probe_result::failed:
    return {stall_step::give_up, now};
  case probe_result::answered:
  case probe_result::run_known:
    break;
  }
  if (watch.resumes >= policy.max_resumes)
    return {stall_step::give_up, now};
  ++watch.resumes;
  watch.probing = false;
  watch.quiet_since = now;
  return {stall_step::reconnect, now};
}

} // namespace sedgechute
