#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

struct datagram_policy {
  std::uint64_t silent_after{24};     ///< datagrams without an acknowledgement
  time_ms silent_for{1000};           ///< ... over at least this time
  time_ms longest_silence{12'000};    ///< with however few datagrams
  time_ms probe_interval{10'000};     ///< once a path was found silent
  std::uint64_t acknowledge_after{8}; ///< datagrams heard
  time_ms acknowledge_within{5000};   ///< so that most ride on what is sent anyway
};

/// \brief Whether datagrams reach one peer: numbers of what was sent and heard. Not thread-safe.
///
/// A datagram that is dropped on its way leaves no trace. So each has a number, and each side tells
/// the other the largest that it heard. A path is silent when many in a row, or one for long, were
/// not acknowledged; then messages are to go another way, and a probe now and then finds out
/// whether datagrams pass again.
class datagram_path {
 public:
  explicit datagram_path(datagram_policy policy = {}) : policy_{policy} {}

  /// \returns whether messages should go this way
  [[nodiscard]] bool carries(time_ms now);
  /// \returns whether a silent path is to be tried again now
  [[nodiscard]] bool probe_due(time_ms now) const noexcept;
  /// \returns the number of a datagram that is sent now
  [[nodiscard]] std::uint64_t send(time_ms now) noexcept;

  /// \param number        of a datagram that arrived; 0 when it needs no acknowledgement
  /// \param acknowledged  largest number that its sender has heard
  /// \param probe         it carries nothing and wants its answer at once
  void hear(std::uint64_t number, std::uint64_t acknowledged, bool probe, time_ms now) noexcept;
  /// \returns whether to acknowledge by a datagram of its own
  [[nodiscard]] bool acknowledgement_due(time_ms now) const noexcept;
  /// \returns the number to acknowledge in a datagram that is sent now
  [[nodiscard]] std::uint64_t acknowledge() noexcept;

 private:
  datagram_policy policy_;
  std::uint64_t sent_{0};
  std::uint64_t acknowledged_{0};
  time_ms unacknowledged_since_;
  time_ms last_probe_;
  bool silent_{false};
  std::uint64_t heard_{0};
  std::uint64_t told_{0};
  time_ms untold_since_;
  bool probed_{false};
};

} // namespace sedgechute
