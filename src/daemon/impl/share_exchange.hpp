#pragma once

#include "daemon/impl/dispatch_service.hpp"
#include "daemon/impl/peer_links.hpp"
#include "membership/membership.hpp"
#include "routing/routing.hpp"

#include <map>
#include <vector>

namespace sedgechute {

/// \brief Tells the other hosts what teams want and got here, and plans this host's part of each
/// pool from what they tell. Also carries news of suspected content. Thread-safe.
///
/// Reports travel through one speaker of each data centre, chosen by rendezvous: hosts report to
/// it, it sums them up and passes the sum to the other speakers and, with theirs, to its own hosts.
/// So a host gets one message per data centre and round, however many hosts there are.
class share_exchange {
 public:
  share_exchange(incarnation self, data_centre_id here, dispatch_service& dispatch,
                 peer_links& peers, const clock& time);

  void on_view(const membership_view& view);
  void on_message(const routing_message& message);
  /// \brief Sends news of suspected content at once; to be called about every 20 ms.
  void send_news();
  /// \brief Reports demand and plans; to be called about once a second.
  void exchange();

 private:
  /// What was heard of one pool from one sender: a host of this data centre about itself, or a
  /// speaker about its data centre.
  struct heard_report {
    share_report report;
    time_ms at;
  };
  using report_key = std::pair<pool_id, host_id>;
  using report_map = std::map<report_key, heard_report>;

  void send_to(const std::vector<incarnation>& receivers, const routing_message& message);
  [[nodiscard]] bool is_speaker(const incarnation& host) const;
  void keep(report_map& reports, const share_report& report);
  [[nodiscard]] std::vector<share_report> recent(report_map& reports, const pool_id& pool) const;
  [[nodiscard]] std::vector<share_report> reports_for_plan(const pool_id& pool,
                                                           const share_report& own);
  [[nodiscard]] share_report sum_of_here(const pool_id& pool, const share_report& own);
  void plan(const pool_id& pool, const share_report& own);
  void speak(const routing_message& own);

  incarnation self_;
  data_centre_id here_;
  dispatch_service& dispatch_;
  peer_links& peers_;
  const clock& time_;
  ordered_mutex mutex_{lock_rank::membership};
  std::vector<incarnation> others_;
  std::vector<incarnation> near_;     ///< other hosts of this data centre
  std::vector<incarnation> speakers_; ///< of the other data centres
  incarnation speaker_;               ///< of this one
  report_map from_hosts_;
  report_map from_speakers_;
};

} // namespace sedgechute
