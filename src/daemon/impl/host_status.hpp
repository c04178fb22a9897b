#pragma once

#include "gateway/gateway.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <condition_variable>

namespace sedgechute {

/// \brief Whether the host is ready, which requests are in it, and how they ended. Thread-safe.
class host_status final : public host_port {
 public:
  host_status(incarnation self, structured_log& log, metrics& figures, decision_events& events,
              burn_tracker& burn);

  /// What `not_ready_reason` says during a planned stop.
  static constexpr std::string_view stopping_reason = "stopping";

  /// \param reason  empty makes the host ready
  void set_not_ready(const std::string& reason);
  /// \brief The balancer is told to send nothing more here; what it sends all the same is served.
  void announce_stop();
  /// \brief From now on no request enters.
  void stop_entry();
  /// \brief Waits until every request that entered has left, however long that takes.
  void wait_until_empty();
  [[nodiscard]] std::size_t inside() const;

  [[nodiscard]] std::string not_ready_reason() override;
  void enter() override;
  void leave() noexcept override;
  [[nodiscard]] std::string metrics_text() override;
  [[nodiscard]] request_id new_request_id() override;
  void request_ended(const ended_request& ended) override;
  void note_internal_error(const std::string& what) noexcept override;

 private:
  void count(const ended_request& ended);
  void count_refusal(const team_id& team, error_kind kind);
  void remember(const ended_request& ended);

  incarnation self_;
  structured_log& log_;
  metrics& metrics_;
  decision_events& events_;
  burn_tracker& burn_;
  mutable ordered_mutex mutex_{lock_rank::lifecycle};
  std::condition_variable_any left_;
  std::string not_ready_{"starting"};
  bool stop_announced_{false};
  bool entry_stopped_{false};
  std::size_t inside_{0};
  std::atomic<std::uint64_t> next_request_{1};
};

} // namespace sedgechute
