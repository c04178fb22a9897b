#pragma once

#include "config/config.hpp"
#include "daemon/impl/admin_router.hpp"
#include "daemon/impl/credential_watch.hpp"
#include "daemon/impl/host_listener.hpp"
#include "daemon/impl/host_status.hpp"
#include "daemon/impl/log_replayer.hpp"
#include "daemon/impl/membership_service.hpp"
#include "daemon/impl/metrics_sampler.hpp"
#include "daemon/impl/order_service.hpp"
#include "daemon/impl/peer_answers.hpp"
#include "gateway/gateway.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief One entry host of the fleet: owns every part and connects them.
///
/// The members are declared in the order in which they depend on each other, so that each is
/// destroyed before what it uses.
class host {
 public:
  explicit host(host_settings settings);
  host(const host&) = delete;
  host& operator=(const host&) = delete;
  ~host();

  void start();
  /// \brief Waits until an operator asks for a stop, or `request_stop` is called.
  void wait_for_stop();
  void request_stop();
  /// \brief Gives notice to the balancer, takes no new work, finishes every request however long,
  /// hands everything over, stops.
  void drain();

 private:
  void on_view(const membership_view& view);
  void use_datagram_keys(const std::vector<datagram_key>& keys);
  void start_loops();
  [[nodiscard]] std::unique_ptr<http_server>
  listen(const address& at, http_server::request_handler handle,
         std::shared_ptr<const listener_credentials> credentials);
  /// \brief Calls `step` every `interval` until the host stops.
  void every(time_ms interval, std::function<void()> step);
  void sample_callers();
  void poll_host_list();
  void update_readiness();
  [[nodiscard]] bool keys_decided();
  void give_notice();
  void hand_over();
  [[nodiscard]] bool has_successor();

  host_settings settings_;
  steady_clock time_;
  incarnation self_;
  structured_log log_;
  metrics metrics_;
  decision_events events_;
  burn_tracker burn_;
  host_status status_;
  datagram_seal membership_seal_;
  credential_watch credentials_;
  peer_credentials peer_credentials_;
  peer_links peers_;
  record_appender appender_;
  document_service documents_;
  dispatch_service dispatch_;
  budget_service budgets_;
  claim_service claims_;
  order_service orders_;
  replicated_state state_;
  log_replayer replayer_;
  load_poller loads_;
  share_exchange shares_;
  endpoint_connections connections_;
  answer_table answers_;
  peer_answers followed_;
  gateway gateway_;
  host_listener listener_;
  std::unique_ptr<peer_server> peer_server_;
  std::unique_ptr<membership_service> membership_;
  caller_router router_;
  metrics_sampler sampler_;
  std::unique_ptr<admin_router> admin_;
  std::unique_ptr<http_server> callers_;
  std::uint64_t evicted_{0}; ///< callers, as last counted
  std::unique_ptr<http_server> operators_;
  ordered_mutex stop_mutex_{lock_rank::lifecycle};
  std::condition_variable_any stop_wanted_;
  bool stop_requested_{false};
  time_ms started_;
  bool keys_settled_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> loops_;
};

} // namespace sedgechute
