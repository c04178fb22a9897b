#pragma once

#include "daemon/impl/dispatch_service.hpp"
#include "daemon/impl/peer_links.hpp"
#include "membership/membership.hpp"
#include "routing/routing.hpp"

#include <vector>

namespace sedgechute {

/// \brief Tells the other hosts what teams want and got here, and plans this host's part of each
/// pool from what they tell, as `share_relay` says. Also carries news of suspected content.
/// Thread-safe.
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
  [[nodiscard]] std::vector<share_report> measure();
  void plan(const share_report& own);
  void send_to(const std::vector<incarnation>& receivers, const routing_message& message);

  incarnation self_;
  dispatch_service& dispatch_;
  peer_links& peers_;
  const clock& time_;
  ordered_mutex mutex_{lock_rank::membership};
  std::vector<incarnation> others_;
  share_relay relay_;
};

} // namespace sedgechute
