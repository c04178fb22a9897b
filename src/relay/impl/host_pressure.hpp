#pragma once

#include "kernel/kernel.hpp"

#include <functional>
#include <optional>

namespace sedgechute {

/// \brief What a host knows of its own load, for decisions about new requests. What is not set says
/// that there is none.
struct host_pressure {
  std::function<bool()> sheds; ///< whether one new request is to be refused
  /// For how long the balancer has been told to deal callers to other hosts.
  std::function<std::optional<time_ms>()> busy_for;
  std::function<void(bool turned_away)> note_request; ///< a request has come
};

struct retry_hint_options {
  time_ms soon{50};             ///< the host may have room again
  time_ms dealt_after{2200};    ///< a busy host gets no new callers from then on
  time_ms spread{400};          ///< so that those who were refused do not come back at once
  std::int64_t usable_parts{3}; ///< callers wait for one of so many parts of their time
};

/// \brief When a caller that a host under pressure refuses had better come back: once the balancer
/// deals it to another host, or as late as it can use.
/// \param left      until the caller gives up
/// \param busy_for  how long the host has been busy, if it is
/// \param drawn     from 0 to below 1, for the spread
[[nodiscard]] time_ms retry_after_pressure(time_ms left, std::optional<time_ms> busy_for,
                                           double drawn,
                                           const retry_hint_options& options) noexcept;

} // namespace sedgechute
