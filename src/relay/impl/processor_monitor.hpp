#pragma once

#include "admission/admission.hpp"
#include "kernel/kernel.hpp"
#include "relay/impl/load_shedding.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <optional>
#include <thread>

namespace sedgechute {

/// \brief Measures processor overload by the wake-up delay of a thread of its own, and decides
/// which requests to refuse because of it. Thread-safe.
class processor_monitor {
 public:
  using open_count = std::function<std::size_t()>;

  /// \param open        returns the number of requests that are being served
  /// \param min_open  with fewer requests, delays are not attributed to this host's own work
  processor_monitor(const shedding_options& options, open_count open, std::size_t min_open,
                    const clock& time, structured_log& log);
  processor_monitor(const processor_monitor&) = delete;
  processor_monitor& operator=(const processor_monitor&) = delete;
  ~processor_monitor();

  void start();
  void stop() noexcept;

  /// \returns whether the next new request is to be refused; random, by the refused fraction
  [[nodiscard]] bool sheds();
  /// \returns the fraction of new requests that are to be refused
  [[nodiscard]] double refused_fraction() const;
  /// \returns how much the events of streams are grouped, from 0 to 1
  [[nodiscard]] double grouping() const;
  /// \returns whether the balancer should send callers to other hosts
  [[nodiscard]] bool busy() const;
  /// \returns how long the host has been busy; nothing when it is not
  [[nodiscard]] std::optional<time_ms> busy_for() const;
  /// \brief Counts a request that arrived.
  /// \param turned_away  it was refused because too many are being prepared
  void note_request(bool turned_away) noexcept;

 private:
  void run();
  void note(time_ms lateness, time_ms since);

  open_count open_;
  std::size_t min_open_;
  const clock& time_;
  structured_log& log_;
  mutable ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any wake_;
  load_shedding shedding_;
  event_grouping grouping_;
  random_source random_;
  std::optional<time_ms> busy_since_;
  std::atomic<std::size_t> requests_{0}; ///< since the last wake-up
  std::atomic<std::size_t> turned_away_{0};
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute
