#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/announced_rate.hpp"
#include "relay/impl/cold_start.hpp"

#include <cstddef>

namespace sedgechute {

/// \brief The part of an endpoint's limit that some hosts use.
struct limit_split {
  std::size_t senders{};  ///< hosts that send at all
  std::size_t requests{}; ///< of each of them in any `window`
  time_ms window;

  bool operator==(const limit_split&) const = default;
};

/// \returns how `hosts` hosts split a limit. Three quarters of it are used, so that hosts that know
/// different host lists do not exceed it by more than a half.
[[nodiscard]] limit_split split_endpoint_limit(double per_second, std::size_t hosts) noexcept;

/// \returns the time without news of a limit after which the host of this rank sends one request,
/// to find out whether the endpoint still names the limit
[[nodiscard]] time_ms limit_trial_after(double per_second, std::size_t hosts,
                                        std::size_t rank) noexcept;

/// \brief What a host knows of the limit of one endpoint: the requests per second that the endpoint
/// takes from all hosts together. The endpoint names it in its answers for as long as it holds. Not
/// thread-safe.
class endpoint_limit {
 public:
  using change = announced_rate::change;

  /// \brief Takes the limit that an answer of the endpoint named.
  change note_named(double per_second, time_ms now);
  /// \brief Takes an answer that named none; see `announced_rate`.
  change note_unnamed(time_ms sent, time_ms now);
  /// \brief Takes what another host has heard.
  change note_told(double per_second, time_ms age, time_ms now);
  /// \brief Another host was answered without the limit. One request of this host may find out.
  void note_told_ended(time_ms age, time_ms now);

  [[nodiscard]] bool holds() const noexcept { return rate_.holds(); }
  [[nodiscard]] double per_second() const noexcept { return rate_.per_second(); }
  [[nodiscard]] time_ms heard_at() const noexcept { return rate_.heard_at(); }
  /// \returns whether one request may find out whether the limit still holds
  /// \param after  see `limit_trial_after`
  [[nodiscard]] bool trial_due(time_ms after, time_ms now) const noexcept;
  void begin_trial() noexcept { trial_open_ = true; }
  void end_trial() noexcept { trial_open_ = false; }

 private:
  announced_rate rate_;
  bool told_ended_{false};
  bool trial_open_{false};
};

} // namespace sedgechute
