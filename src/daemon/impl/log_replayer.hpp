#pragma once

#include "daemon/impl/peer_links.hpp"
#include "daemon/impl/replicated_state.hpp"
#include "membership/membership.hpp"
#include "platform/platform.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
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
  struct parts {
    std::uint64_t offset{};
    std::uint64_t digest{};
    std::uint32_t count{};
    std::map<std::uint32_t, std::string> data;

    [[nodiscard]] bool whole() const { return count > 0 && data.size() == count; }
  };

  void run();
  void read_log();
  void on_entry(const log_entry& entry);
  void on_mark(std::uint64_t offset, const wire::checkpoint_mark& mark);
  void on_part(const wire::checkpoint_part& part);
  void mark_when_due();
  void write_checkpoint(const std::string& id, std::uint64_t offset);

  void relay_from_peers();
  [[nodiscard]] bool relay_from(const host_id& peer);
  [[nodiscard]] bool fetch_state_from(const host_id& peer);
  void recover_from_gap(std::uint64_t first);
  [[nodiscard]] std::optional<parts> last_checkpoint_in_log(std::uint64_t first);
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
  std::map<std::string, parts> arriving_;
  time_ms next_mark_;

  mutable ordered_mutex mutex_{lock_rank::membership};
  std::condition_variable_any wake_;
  std::vector<host_id> others_;
  replay_status status_;
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute
