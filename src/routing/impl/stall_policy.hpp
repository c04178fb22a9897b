#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief What an open exchange with an endpoint, a peer or the log is waiting for.
enum class stall_stage {
  connect,
  first_byte,    ///< sent; nothing has come back, not even a comment line
  between_bytes, ///< something has come back before
};

template <>
struct enum_names<stall_stage> {
  static constexpr auto entries =
      enum_table<stall_stage>({{stall_stage::connect, "connect"},
                               {stall_stage::first_byte, "first_byte"},
                               {stall_stage::between_bytes, "between_bytes"}});
};

/// \brief Longest silence per stage before a probe. Engines send a comment line at least every
/// 2 s, so the later stages allow for one lost and one late.
struct stall_policy {
  time_ms connect{1000};
  time_ms first_byte{5000};
  time_ms between_bytes{5000};
  time_ms probe{1500};           ///< longest wait for a probe's answer
  std::uint32_t most_resumes{3}; ///< of one run, until it is given up
};

/// \brief One exchange as it is watched.
struct stall_watch {
  stall_stage stage{stall_stage::connect};
  time_ms quiet_since; ///< last byte, or the start of the stage
  bool probing{};
  time_ms probe_started;
  std::uint32_t resumes{};
};

enum class stall_step {
  wait,      ///< look again at `at`
  probe,     ///< open a new connection to the same endpoint and ask for its health
  give_up,   ///< the endpoint is dead or cut off: a failed attempt
  reconnect, ///< the old connection is at fault: close it and resume on a new one
};

template <>
struct enum_names<stall_step> {
  static constexpr auto entries = enum_table<stall_step>({{stall_step::wait, "wait"},
                                                          {stall_step::probe, "probe"},
                                                          {stall_step::give_up, "give_up"},
                                                          {stall_step::reconnect, "reconnect"}});
};

struct stall_decision {
  stall_step step{stall_step::wait};
  time_ms at; ///< when to look again
};

/// \brief What a probe on a new connection showed.
enum class probe_result {
  pending,
  answered,  ///< the endpoint is well
  run_known, ///< the same, and it still has the run
  failed,    ///< refused, reset or no answer in time
};

template <>
struct enum_names<probe_result> {
  static constexpr auto entries = enum_table<probe_result>({{probe_result::pending, "pending"},
                                                            {probe_result::answered, "answered"},
                                                            {probe_result::run_known, "run_known"},
                                                            {probe_result::failed, "failed"}});
};

/// \brief A byte came in.
void note_bytes(stall_watch& watch, time_ms now) noexcept;

/// \brief Decides what a silent exchange needs now.
[[nodiscard]] stall_decision check_stall(stall_watch& watch, const stall_policy& policy,
                                         probe_result probe, time_ms now) noexcept;

} // namespace sedgechute
