#pragma once

#include "membership/impl/member_table.hpp"
#include "membership/impl/membership_message.hpp"

#include <optional>

namespace sedgechute {

/// \brief The SWIM-style failure detector of one process, with probes, indirect probes, gossip and
/// full exchanges of member tables.
///
/// Not thread-safe: the owner must lock around every call. A wrong suspicion costs other components
/// a new grant but never affects correctness, so detection favours speed.
class membership {
 public:
  /// \param address  this process's peer address, `IP:port`
  /// \param seed     seed of the probe order, different on each host
  membership(incarnation self, data_centre_id data_centre, std::string address,
             const membership_options& options, std::uint64_t seed);

  /// \brief Replaces the platform's host list, which names the hosts to contact at start and after
  /// a partition.
  void on_host_list(time_ms now, const std::vector<listed_host>& entries);
  void on_message(time_ms now, const membership_message& message);
  /// \brief Performs timed work. To be called about every 50 ms.
  void tick(time_ms now);
  /// \brief Announces that this process will stop after its streams have ended.
  void leave(time_ms now);
  /// \brief Announces that this process stops now, by messages in the next output.
  void stop(time_ms now);

  /// \returns the messages to send, in order; any may be lost
  [[nodiscard]] std::vector<addressed_membership_message> take_output();
  /// \returns the live and suspect hosts, including this one
  [[nodiscard]] const membership_view& view() { return table_.view(); }

 private:
  struct probe {
    std::uint64_t sequence;
    incarnation target;
    time_ms indirect_at;
    time_ms fails_at;
    bool indirect{};
  };
  struct relay {
    std::uint64_t sequence;           ///< of the ping sent on behalf of another member
    std::uint64_t requester_sequence; ///< of that member's own ping
    std::string requester_address;
    time_ms expires;
  };

  void on_ping(const membership_message& message);
  void on_ack(time_ms now, const membership_message& message);
  void on_indirect_ping(time_ms now, const membership_message& message);
  void detect_pause(time_ms now);
  void check_probe(time_ms now);
  void start_probe(time_ms now);
  void send_indirect_pings(const incarnation& target);
  void probe_lost_host();
  void gossip();
  void synchronise();
  void send_table(const std::string& address, membership_message_kind first_kind);
  void send(const std::string& address, membership_message_kind kind, std::uint64_t sequence,
            const incarnation& target, std::vector<member_update> first = {});
  [[nodiscard]] membership_message make(membership_message_kind kind) const;
  [[nodiscard]] const member_update* random_member();
  [[nodiscard]] std::vector<const member_update*> choose_helpers(const member_update& target);

  member_table table_;
  membership_options options_;
  random_source random_;
  std::vector<listed_host> listed_;
  std::vector<addressed_membership_message> output_;
  std::optional<probe> probe_;
  std::vector<relay> relays_;
  std::uint64_t last_sequence_{0};
  std::size_t next_probe_index_{0};
  std::optional<time_ms> last_tick_;
  time_ms next_probe_;
  time_ms next_lost_probe_;
  time_ms next_gossip_;
  time_ms next_sync_;
  bool synchronised_{false};
};

} // namespace sedgechute
