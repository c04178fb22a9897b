#pragma once

#include "admission/admission.hpp"
#include "kernel/kernel.hpp"

#include <functional>
#include <optional>

namespace sedgechute {

/// \brief The host's view of its own load, for decisions about new requests. An unset function
/// means no load.
struct host_pressure {
  std::function<bool()> sheds; ///< returns whether the next new request is to be refused
  std::function<double()> refused_fraction{}; ///< of new requests; `sheds` draws by the same one
  /// Returns how long the balancer has been told to send callers to other hosts; nothing if it has
  /// not.
  std::function<std::optional<time_ms>()> busy_for;
  std::function<void(bool turned_away)> note_request; ///< called for each request that arrives
};

struct retry_hint_options {
  time_ms soon{
      shortest_retry_after};    ///< for a host that is not busy: it may have capacity again by then
  time_ms balancer_delay{2200}; ///< after which the balancer sends a busy host no new callers
  time_ms spread{400};          ///< jitter, so that refused callers do not all return at once
  std::int64_t usable_divisor{3}; ///< the wait is at most the time left divided by this
};

/// \brief Computes the `Retry-After` of a refusal under load: until the balancer sends the caller
/// to another host, or less when the caller's remaining time does not allow that. \param left time
/// until the caller gives up \param busy_for  how long the host has been busy, if it is \param
/// drawn     uniform random number in [0, 1) for the jitter
[[nodiscard]] time_ms retry_after_pressure(time_ms left, std::optional<time_ms> busy_for,
                                           double drawn,
                                           const retry_hint_options& options) noexcept;

} // namespace sedgechute
