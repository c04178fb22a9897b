#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/load_shedding.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <optional>
#include <thread>

namespace sedgechute {

/// \brief Watches on a thread of its own how late it wakes up, and says what is to be refused for
/// it. Thread-safe.
class processor_watch {
 public:
  using open_count = std::function<std::size_t()>;

  /// \param open        requests that are being served
  /// \param least_open  with fewer, a late wake-up says nothing of this host's own work
  processor_watch(const shedding_options& options, open_count open, std::size_t least_open,
                  const clock& time, structured_log& log);
  processor_watch(const processor_watch&) = delete;
  processor_watch& operator=(const processor_watch&) = delete;
  ~processor_watch();

  void start();
  void stop() noexcept;

  /// \returns whether one new request is to be refused
  [[nodiscard]] bool sheds();
  /// \returns whether callers had better be dealt to other hosts
  [[nodiscard]] bool busy() const;
  /// \returns for how long they had, if they have
  [[nodiscard]] std::optional<time_ms> busy_for() const;
  /// \brief A request has come.
  /// \param turned_away  because too many are being prepared
  void note_request(bool turned_away) noexcept;

 private:
  void run();
  void note(time_ms lateness, time_ms since);

  open_count open_;
  std::size_t least_open_;
  const clock& time_;
  structured_log& log_;
  mutable ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any wake_;
  load_shedding shedding_;
  random_source random_;
  std::optional<time_ms> busy_since_;
  std::atomic<std::size_t> requests_{0}; ///< since the last look
  std::atomic<std::size_t> turned_away_{0};
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute
