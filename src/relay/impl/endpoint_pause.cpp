#include "relay/impl/endpoint_pause.hpp"

#include <algorithm>

namespace sedgechute {

bool endpoint_pause::ask(time_ms pause, time_ms now) noexcept {
  const bool begins = !holds(now);
  const time_ms until = now + std::min(pause, max_pause);
  until_ = until_ ? std::max(*until_, until) : until;
  return begins;
}

// An answer to a request from before the pause does not show that the endpoint has recovered.
void endpoint_pause::note_taken(time_ms sent) noexcept {
  if (until_ && sent >= *until_)
    until_.reset();
}

// Another program at the address echoes no id, or another one.
bool may_ask_for_pause(const reply_terms& terms, int status, std::string_view request_id) noexcept {
  constexpr int unavailable = 503;
  return status == unavailable && terms.not_run && terms.echoed_id == request_id;
}

} // namespace sedgechute
