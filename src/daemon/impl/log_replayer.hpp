#pragma once

#include "clients/clients.hpp"
#include "daemon/impl/peer_links.hpp"
#include "daemon/impl/replicated_state.hpp"
#include "membership/membership.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Spans of the replay.
struct replay_options {
  time_ms retention{3600000};  ///< how long the log keeps a record, at least
  time_ms poll{1000};          ///< longest wait of one read
  time_ms relay_interval{250}; ///< between questions to peers while the log is out of reach
};

/// \brief Where a host stands with the log, for readiness and for operators.
struct replay_status {
  bool caught_up{false}; ///< everything that was in the log, or known to a peer, is applied
  bool log_reachable{false};
  bool diverged{false}; ///< a checkpoint contradicted this host's replay
  std::uint64_t position{};
  std::uint64_t relayed{};     ///< records that came from peers
  std::uint64_t checkpoints{}; ///< whole checkpoints seen
};

/// \brief Keeps the replicated state up to date: from the log, while that is out of reach from
/// peers, and after a gap from a peer's state or the last checkpoint. Also writes checkpoints.
class log_replayer {
 public:
  log_replayer(incarnation self, std::unique_ptr<log_client> log, replicated_state& state,
               peer_links& peers, const clock& time, const replay_options& options);
  log_replayer(const log_replayer&) = delete;
  log_replayer& operator=(const log_replayer&) = delete;
  ~log_replayer();

  void start();
  void stop();
  void on_view(const membership_view& view);
  [[nodiscard]] replay_status status() const;

 private:
  /// Parts of a checkpoint seen in the log. Only the last part says how many there are.
  struct seen_parts {
    std::uint32_t count{};
    std::set<std::uint32_t> indices;

    [[nodiscard]] bool whole() const { return count > 0 && indices.size() == count; }
  };
  /// A checkpoint that this host is writing, some parts after each read of the log.
  struct unfinished_checkpoint {
    std::string id;
    std::unique_ptr<state_cut> cut;
    std::uint32_t index{};
    std::vector<std::string> unsent;
    int failures{};
  };

  void run();
  void read_log();
  void on_entry(const log_entry& entry);
  void on_mark(const wire::checkpoint_mark& mark);
  void on_part(const wire::checkpoint_part& part);
  void mark_when_due();
  void write_next_parts();
  [[nodiscard]] std::string next_part_record();

  void relay_from_peers();
  [[nodiscard]] bool relay_from(const host_id& peer);
  [[nodiscard]] bool fetch_state_from(const host_id& peer);
  void recover_from_gap(std::uint64_t first);
  [[nodiscard]] bool restore_from_log(std::uint64_t first);
  [[nodiscard]] bool restore_checkpoint(std::uint64_t first, std::set<std::string>& tried);
  [[nodiscard]] bool take_part(const wire::checkpoint_part& part, std::uint32_t& expected);
  [[nodiscard]] std::vector<host_id> peers_in_random_order();
  [[nodiscard]] bool pause(time_ms span);

  incarnation self_;
  std::unique_ptr<log_client> log_;
  replicated_state& state_;
  peer_links& peers_;
  const clock& time_;
  replay_options options_;
  random_source random_;
  std::uint64_t next_{1};
  std::string own_mark_;
  std::map<std::string, std::uint64_t> digest_at_mark_;
  std::map<std::string, seen_parts> arriving_;
  std::optional<unfinished_checkpoint> writing_;
  time_ms next_mark_;

  mutable ordered_mutex mutex_{lock_rank::membership};
  std::condition_variable_any wake_;
  std::vector<host_id> others_;
  replay_status status_;
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute
