#pragma once

#include "clients/clients.hpp"
#include "daemon/impl/dispatch_service.hpp"
#include "daemon/impl/peer_links.hpp"
#include "membership/membership.hpp"

#include <atomic>
#include <map>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Asks endpoints for their load, health and cache events, and shares what it read.
///
/// One host of an endpoint's data centre asks it and passes the figures on: each round to the hosts
/// of that data centre, now and then to the others, which send it little. So an endpoint is asked
/// once per round however many hosts there are. Rounds grow longer with the number of endpoints,
/// which bounds the bytes that a host gets. One that hears nothing of an endpoint of its own data
/// centre for a while asks it itself.
class load_poller {
 public:
  load_poller(incarnation self, data_centre_id here, dispatch_service& dispatch, peer_links& peers,
              const clock& time, time_ms interval);
  load_poller(const load_poller&) = delete;
  load_poller& operator=(const load_poller&) = delete;
  ~load_poller();

  void start();
  void stop();
  void on_view(const membership_view& view);
  void on_peer_loads(const wire::load_batch& batch);

 private:
  void run();
  void poll_round();
  [[nodiscard]] bool is_mine(const host_list_entry& endpoint, time_ms now);
  [[nodiscard]] bool poll(const host_list_entry& endpoint, wire::endpoint_load& load);
  void poll_cache_events(const host_list_entry& endpoint);
  void apply(wire::endpoint_load load);
  void share(const wire::load_batch& batch);
  [[nodiscard]] time_ms round_interval() const;

  incarnation self_;
  data_centre_id here_;
  dispatch_service& dispatch_;
  peer_links& peers_;
  const clock& time_;
  time_ms interval_;
  std::atomic<bool> stopping_{false};
  ordered_mutex mutex_{lock_rank::membership};
  std::vector<member> members_;
  std::map<std::string, time_ms> heard_; ///< of an endpoint, by anyone
  std::map<std::string, std::uint64_t> next_event_;
  std::map<std::string, wire::endpoint_load> loaded_; ///< models and adapters as last told
  std::uint64_t round_{0};
  std::atomic<std::size_t> near_endpoints_{0};
  std::thread thread_;
};

} // namespace sedgechute
