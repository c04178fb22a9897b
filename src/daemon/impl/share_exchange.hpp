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
class share_exchange {
 public:
  share_exchange(incarnation self, dispatch_service& dispatch, peer_links& peers,
                 const clock& time);

  void on_view(const membership_view& view);
  void on_message(const routing_message& message);
  /// \brief Sends news of suspected content at once; to be called about every 20 ms.
  void send_news();
  /// \brief Reports demand and plans; to be called about once a second.
  void exchange();

 private:
  struct heard_report {
    share_report report;
    time_ms at;
  };

  void send_to_all(const routing_message& message);
  [[nodiscard]] std::vector<share_report> recent_reports(const pool_id& pool);
  void plan(const pool_id& pool, const share_report& own);

  incarnation self_;
  dispatch_service& dispatch_;
  peer_links& peers_;
  const clock& time_;
  ordered_mutex mutex_{lock_rank::membership};
  std::vector<incarnation> others_;
  std::map<std::pair<pool_id, host_id>, heard_report> heard_;
};

} // namespace sedgechute
