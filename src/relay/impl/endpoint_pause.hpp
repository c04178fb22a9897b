#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/wire_dialect.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace sedgechute {

/// \brief Pauses for which an endpoint asked this host in its refusals. Not thread-safe.
class endpoint_pause {
 public:
  /// Longest pause that is kept to; an endpoint that needs more asks again.
  static constexpr time_ms max_pause{600000};
  /// Requests in flight after a pause until the endpoint has taken one.
  static constexpr std::size_t max_trials{2};

  /// \brief Takes a pause that the endpoint asks for; the latest end holds.
  /// \returns whether a pause begins
  bool ask(time_ms pause, time_ms now) noexcept;
  /// \brief Records that the endpoint took a request that was sent at `sent`.
  void note_taken(time_ms sent) noexcept;
  void begin_trial() noexcept { ++trials_; }
  void end_trial() noexcept { trials_ -= trials_ > 0 ? 1U : 0U; }

  [[nodiscard]] bool holds(time_ms now) const noexcept { return until_ && now < *until_; }
  /// \returns whether a request is one of the first after a pause
  [[nodiscard]] bool on_trial(time_ms now) const noexcept { return until_ && now >= *until_; }
  /// \returns whether a request may be sent
  [[nodiscard]] bool allows(time_ms now) const noexcept {
    return !until_ || (now >= *until_ && trials_ < max_trials);
  }
  /// \returns nothing once the endpoint has taken a request after the last pause
  [[nodiscard]] std::optional<time_ms> until() const noexcept { return until_; }

 private:
  std::optional<time_ms> until_;
  std::size_t trials_{0};
};

/// \param request_id  id of the request that the reply answers
/// \returns whether the reply is a refusal in which an endpoint may ask for a pause
[[nodiscard]] bool may_ask_for_pause(const reply_terms& terms, int status,
                                     std::string_view request_id) noexcept;

} // namespace sedgechute
