#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

struct shedding_options {
  /// Mean time by which threads wake up late, above which this host has more to do than processor
  /// time.
  double target_ms{3};
  /// Time constant of that mean.
  time_ms smoothing{300};
  /// One wake-up counts as no later than this: a host that was frozen has work to spare again.
  time_ms most_lateness{20};
  time_ms longest_span{100}; ///< and stands for no longer a time
  /// By how much the part that is refused grows in a second at twice the target, and shrinks in a
  /// second without any lateness.
  double rise{1.0};
  double fall{0.3};
  double most_refused{0.9}; ///< some are always taken, so that all kinds and teams are served
  /// The host is busy from this part on, until it falls to the second.
  double busy_from{0.2};
  double busy_until{0.02};
};

/// \brief How many new requests a host refuses because its processor is used up.
///
/// The balancer deals callers to hosts, not requests: one caller with many requests brings its host
/// ten times the mean, also when it tries again. Only a balancer that sees the host busy deals it
/// to another one; until then what is taken beyond the processor's part makes all others late.
/// Pure; not thread-safe.
class load_shedding {
 public:
  explicit load_shedding(const shedding_options& options) : options_{options} {}

  /// \brief A thread that meant to sleep woke up later than it meant to.
  /// \param since  the last such note
  void note_wake_up(time_ms lateness, time_ms since) noexcept;
  /// \brief Requests that came since the last such note, and how many of them were turned away
  /// because too many were being prepared.
  void note_requests(std::size_t turned_away, std::size_t all, time_ms since) noexcept;
  /// \returns the part of new requests to be refused
  [[nodiscard]] double refused_part() const noexcept { return refused_; }
  /// \returns whether callers had better be dealt to other hosts
  [[nodiscard]] bool busy() const noexcept { return busy_; }

 private:
  void judge() noexcept;

  shedding_options options_;
  double lateness_ms_{0};
  double refused_{0};
  double turned_away_{0}; ///< of late, fading
  double all_{0};
  bool busy_{false};
};

} // namespace sedgechute
