#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

struct shedding_options {
  /// Mean wake-up delay of a thread above which the host counts as overloaded.
  double target_ms{3};
  /// Time constant of that mean.
  time_ms smoothing{300};
  /// Upper bound of one delay: a host that was frozen has processor time again afterwards.
  time_ms max_lateness{20};
  time_ms max_span{100}; ///< upper bound of the time that one wake-up stands for
  /// Increase of the refused fraction per second at twice the target, and decrease per second
  /// without any delay.
  double rise{1.0};
  double fall{0.3};
  double max_refused{0.9}; ///< below 1, so that requests of all kinds and teams are served
  /// Hysteresis of the busy state: refused fractions at which it begins and ends.
  double busy_from{0.2};
  double busy_until{0.02};
};

/// \brief Computes which fraction of new requests a host refuses because its processor is
/// overloaded.
///
/// The balancer distributes callers, not requests: one caller with many requests brings its host
/// ten times the mean load, also when it retries. The balancer sends the caller elsewhere only when
/// it sees the host as busy; until then, requests beyond the processor's capacity delay all others.
/// Not thread-safe.
class load_shedding {
 public:
  explicit load_shedding(const shedding_options& options) : options_{options} {}

  /// \brief Records a wake-up of a sleeping thread.
  /// \param lateness  delay of the wake-up
  /// \param since     time since the last call
  void note_wake_up(time_ms lateness, time_ms since) noexcept;
  /// \brief Records the number of requests since the last call, and how many of them were refused
  /// because too many were being prepared.
  void note_requests(std::size_t turned_away, std::size_t all, time_ms since) noexcept;
  /// \returns the mean wake-up delay relative to its target
  [[nodiscard]] double delay_ratio() const noexcept { return lateness_ms_ / options_.target_ms; }
  /// \returns the fraction of new requests to be refused
  [[nodiscard]] double refused_fraction() const noexcept { return refused_; }
  /// \returns whether the balancer should send callers to other hosts
  [[nodiscard]] bool busy() const noexcept { return busy_; }

 private:
  void update_busy() noexcept;

  shedding_options options_;
  double lateness_ms_{0};
  double refused_{0};
  double turned_away_{0}; ///< decaying counts of recent requests
  double all_{0};
  bool busy_{false};
};

} // namespace sedgechute
