#pragma once

#include "entry/impl/entry_settings.hpp"
#include "entry/impl/fleet_watch.hpp"
#include "entry/impl/status_server.hpp"
#include "platform/platform.hpp"
#include "prepaid/prepaid.hpp"
#include "relay/relay.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <functional>
#include <memory>

namespace sedgechute {

/// \brief One entry host: creates its parts, connects, starts and stops them.
class entry_host {
 public:
  /// \param stop_requested  whether the process was told to stop, also before `stop` is called
  entry_host(entry_settings settings, const clock& time, structured_log& log,
             std::function<bool()> stop_requested);
  entry_host(const entry_host&) = delete;
  entry_host& operator=(const entry_host&) = delete;
  ~entry_host();

  void start();
  /// \brief Lets open requests end within the grace period, and stops.
  /// \returns the time left for writing the log
  [[nodiscard]] time_ms stop();

 private:
  [[nodiscard]] std::string not_ready_reason() const;
  /// \returns how long the first request has been waiting for a thread; 0 when none waits
  [[nodiscard]] time_ms thread_wait() const;
  [[nodiscard]] status_server::pages pages();
  [[nodiscard]] std::string budget_page() const;
  void export_promises();
  void serve_until_end(planned_stop& stop) const;
  void wait_until(const std::function<bool()>& done, time_ms most) const;
  void take_config(const config_ptr& config);
  /// \brief Applies a change of the host list.
  void take_hosts();
  void note_restart(const endpoint_restart& found);
  void note_limit(const rate_notice& notice);
  void note_pause(const pause_notice& notice);
  void note_brittle(const rate_notice& notice);
  /// \brief Records that no endpoint is reached any more, or that one is again.
  void note_cut();
  /// \returns the region of a data centre; empty when it is unknown
  [[nodiscard]] std::string region_of(const std::string& data_centre) const;
  [[nodiscard]] std::unique_ptr<http_frontend> make_frontend(const std::string& address,
                                                             bool from_hosts);
  [[nodiscard]] std::size_t unanswered() const noexcept;

  entry_settings settings_;
  const clock& time_;
  boot_clock since_start_;
  fleet_clock machine_time_{since_start_};
  structured_log& log_;
  std::function<bool()> stop_requested_;
  metrics figures_;
  entry_faults faults_;
  header_dialect dialect_;
  fleet_topics topics_;
  host_topic hosts_;
  quarantine_topic quarantines_;
  endpoint_directory endpoints_;
  content_guard contents_;
  std::unique_ptr<budget_manager> budgets_;
  std::unique_ptr<fleet_watch> fleet_;
  std::unique_ptr<token_loans> loans_; ///< used by budgets_
  std::unique_ptr<load_exchange> loads_;
  std::unique_ptr<quarantine_exchange> quarantine_exchange_;
  std::unique_ptr<limit_exchange> limit_exchange_;
  std::unique_ptr<room_exchange> rooms_;
  std::unique_ptr<stream_build_exchange> stream_builds_;
  std::unique_ptr<peer_channel> peers_; ///< its thread calls loans_, loads_ and the exchanges
  std::unique_ptr<endpoint_prober> prober_;
  std::unique_ptr<request_relay> relay_;
  std::unique_ptr<processor_monitor> processor_; ///< its thread counts what relay_ serves
  std::unique_ptr<http_frontend> caller_frontend_;
  std::unique_ptr<http_frontend> host_frontend_; ///< serves what other hosts forward
  std::unique_ptr<status_server> status_;
  std::atomic<bool> stopping_{false};
  ordered_mutex cut_mutex_{lock_rank::lifecycle};
};

} // namespace sedgechute
