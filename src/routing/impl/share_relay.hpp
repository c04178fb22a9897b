#pragma once

#include "routing/impl/share_plan.hpp"

#include <map>
#include <optional>

namespace sedgechute {

/// \brief A live host and its location.
struct share_member {
  incarnation who;
  data_centre_id data_centre;
  bool leaving{};
};

/// \brief Reports to send to one host in one message.
struct addressed_shares {
  incarnation to;
  std::vector<share_report> reports;
};

/// \brief Aggregates demand reports over the fleet in a two-level hierarchy. Not thread-safe.
///
/// Each pool has one aggregator per data centre, the speaker, chosen by rendezvous hashing. Hosts
/// report to it; it sends the sum of its hosts to the other data centres' speakers and answers each
/// host for the teams that the host named. A host's traffic therefore does not grow with the fleet,
/// and a speaker's grows only with its data centre.
class share_relay {
 public:
  share_relay(incarnation self, data_centre_id here, share_policy policy = {});

  /// \brief Sets the live hosts, including this one, and drops the reports of all others.
  void set_members(std::vector<share_member> members, time_ms now);

  /// \brief Applies another host's report, sum or answer.
  void merge(const share_report& report, time_ms now);

  /// \brief Records this host's demand. Call it about once a second.
  /// \param own  one report for each pool, including those without demand
  /// \returns the reports to send now; empty between rounds
  [[nodiscard]] std::vector<addressed_shares> exchange(std::vector<share_report> own, time_ms now);

  /// \returns `share_inputs::all` for the plan: the speaker's answer, or the sum of recent reports
  [[nodiscard]] share_report sum(const pool_id& pool, time_ms now) const;

  /// \returns the time between rounds: one second in fleets of up to 80 hosts, four from 330 on
  [[nodiscard]] time_ms interval() const;

 private:
  struct received_report {
    share_report report;
    time_ms at;
  };
  /// Speaker of each data centre; the local one has been speaker since `since`.
  struct pool_speakers {
    std::map<data_centre_id, incarnation> of;
    time_ms since;
  };
  /// By pool, then by reporting host or data centre.
  using host_reports = std::map<pool_id, std::map<host_id, received_report>>;
  using centre_reports = std::map<pool_id, std::map<data_centre_id, received_report>>;

  [[nodiscard]] const share_member* member_of(const incarnation& host) const;
  [[nodiscard]] const pool_speakers& speakers(const pool_id& pool, time_ms now);
  [[nodiscard]] bool has_listened(const pool_speakers& speakers, time_ms now) const;
  [[nodiscard]] bool is_recent(const received_report& received, time_ms now) const;
  [[nodiscard]] std::vector<share_report> local_reports(const pool_id& pool, time_ms now) const;
  [[nodiscard]] std::vector<share_report> remote_reports(const pool_id& pool, time_ms now) const;
  void record_own(std::vector<share_report> own);
  [[nodiscard]] share_report mean_of(const std::vector<share_report>& measured) const;
  void publish_sums(const pool_id& pool, const pool_speakers& speakers, time_ms now);
  void queue(const incarnation& to, share_report report);

  incarnation self_;
  data_centre_id here_;
  share_policy policy_;
  std::vector<share_member> members_;
  std::map<pool_id, pool_speakers> speakers_;
  std::map<pool_id, share_report> own_;                   ///< latest report
  std::map<pool_id, std::vector<share_report>> measured_; ///< reports since the last round
  std::map<pool_id, share_report> mean_;                  ///< mean over the last round
  host_reports from_hosts_;
  centre_reports from_centres_;
  std::map<pool_id, received_report> answers_;
  std::uint64_t sequence_{};
  std::optional<time_ms> last_round_;
  std::map<incarnation, std::vector<share_report>> due_;
};

} // namespace sedgechute
