#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/peer_load_table.hpp"
#include "relay/impl/prompt_parts.hpp"
#include "routing/impl/quarantine.hpp"

#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief How an endpoint was found dead.
enum class loss_source {
  refused,   ///< it refused a connection
  restarted, ///< it has started again
  replaced,  ///< another endpoint has its address
  unlisted,  ///< the list dropped it without a notice
};

template <>
struct enum_names<loss_source> {
  static constexpr auto entries = enum_table<loss_source>({{loss_source::refused, "refused"},
                                                           {loss_source::restarted, "restarted"},
                                                           {loss_source::replaced, "replaced"},
                                                           {loss_source::unlisted, "unlisted"}});
};

/// \brief A run whose connection broke, or whose answer ended with its connection.
struct broken_run : cut_run {
  std::vector<part_fingerprint> parts{}; ///< of its prompt
  time_ms written{};                     ///< for how long its answer had been written
  bool answered{false};                  ///< its answer is whole if the endpoint has not crashed
};

struct crash_evidence_options {
  /// Maximum time between the end of a run and the proof that its endpoint died.
  time_ms proof_window{2000};
  /// The same where the list proves it, which drops endpoints after some seconds of silence.
  time_ms list_proof_window{6000};
  std::size_t max_cut_runs{4096};
};

/// \brief Attributes deaths of endpoints to the runs that they cut off. A broken connection proves
/// no death: it may have been reset on the way. So a cut run counts only if its endpoint is found
/// dead at about the same time, before or after the cut. Not thread-safe.
class crash_evidence {
 public:
  explicit crash_evidence(const crash_evidence_options& options = {}) : options_{options} {}

  /// \brief Records that the connection of a run broke.
  /// \returns whether the endpoint is known to be dead, so that the run counts at once
  [[nodiscard]] bool note_cut(const endpoint_id& endpoint, endpoint_hash incarnation,
                              const broken_run& run, time_ms now);
  /// \brief Records that an endpoint is dead.
  /// \returns the runs that it cut off
  [[nodiscard]] std::vector<broken_run> note_lost(const endpoint_id& endpoint,
                                                  endpoint_hash incarnation, loss_source source,
                                                  time_ms now);
  /// \brief Records that an endpoint answered a request that was sent at `sent`: it had not died
  /// before.
  /// \returns the runs whose answers are whole, as that shows
  std::vector<broken_run> note_alive(const endpoint_id& endpoint, endpoint_hash incarnation,
                                     time_ms sent);
  /// \brief Drops the runs whose connections broke.
  void forget_cuts() noexcept;
  /// \brief Drops what is too old to count. Call it about once a second.
  void expire(time_ms now);

 private:
  struct cut {
    broken_run run;
    time_ms at;
  };
  struct incarnation_state {
    endpoint_id endpoint;
    std::vector<cut> cuts;
    bool lost{false};
    time_ms lost_at;
  };

  crash_evidence_options options_;
  std::unordered_map<endpoint_hash, incarnation_state> incarnations_;
  std::size_t cuts_{0};
};

} // namespace sedgechute
