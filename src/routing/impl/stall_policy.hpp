#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief What an exchange with an endpoint, another host or the log waits for.
enum class stall_stage {
  connect,
  first_byte,    ///< request sent, nothing received, not even a comment line
  between_bytes, ///< part of the response received
};

template <>
struct enum_names<stall_stage> {
  static constexpr auto entries =
      enum_table<stall_stage>({{stall_stage::connect, "connect"},
                               {stall_stage::first_byte, "first_byte"},
                               {stall_stage::between_bytes, "between_bytes"}});
};

/// \brief Longest silence per stage before a probe. Engines send a comment line at least every 2 s;
/// the 5 s of the later stages tolerate one lost and one late line.
struct stall_policy {
  time_ms connect{1000};
  time_ms first_byte{5000};
  time_ms between_bytes{5000};
  time_ms probe{1500};          ///< timeout of a probe
  std::uint32_t max_resumes{3}; ///< reconnects of one run before it is given up
};

/// \brief Stall detection state of one exchange.
struct stall_watch {
  stall_stage stage{stall_stage::connect};
  time_ms quiet_since; ///< time of the last byte or the start of the stage
  bool probing{};
  time_ms probe_started;
  std::uint32_t resumes{};
};

/// \brief Next action on an exchange.
enum class stall_step {
  wait,      ///< check again at `stall_decision::at`
  probe,     ///< request the endpoint's health on a new connection
  give_up,   ///< the endpoint is down or unreachable: the attempt has failed
  reconnect, ///< the connection is broken: close it and resume on a new one
};

template <>
struct enum_names<stall_step> {
  static constexpr auto entries = enum_table<stall_step>({{stall_step::wait, "wait"},
                                                          {stall_step::probe, "probe"},
                                                          {stall_step::give_up, "give_up"},
                                                          {stall_step::reconnect, "reconnect"}});
};

/// \brief Result of `check_stall`.
struct stall_decision {
  stall_step step{stall_step::wait};
  time_ms at; ///< time of the next check
};

/// \brief Result of a probe on a new connection.
enum class probe_result {
  pending,
  answered,  ///< the endpoint is healthy
  run_known, ///< the endpoint is healthy and still has the run
  failed,    ///< refused, reset or timed out
};

template <>
struct enum_names<probe_result> {
  static constexpr auto entries = enum_table<probe_result>({{probe_result::pending, "pending"},
                                                            {probe_result::answered, "answered"},
                                                            {probe_result::run_known, "run_known"},
                                                            {probe_result::failed, "failed"}});
};

/// \brief Records that bytes were received.
void note_bytes(stall_watch& watch, time_ms now) noexcept;

/// \returns the next action on an exchange, by the length of its silence and the probe's result
[[nodiscard]] stall_decision check_stall(stall_watch& watch, const stall_policy& policy,
                                         probe_result probe, time_ms now) noexcept;

} // namespace sedgechute
