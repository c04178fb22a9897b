#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/load_shedding.hpp"
#include "telemetry/telemetry.hpp"

#include <condition_variable>
#include <thread>

namespace sedgechute {

/// \brief Watches on a thread of its own how late it wakes up, and says what is to be refused for
/// it. Thread-safe.
class processor_watch {
 public:
  processor_watch(const shedding_options& options, const clock& time, structured_log& log);
  processor_watch(const processor_watch&) = delete;
  processor_watch& operator=(const processor_watch&) = delete;
  ~processor_watch();

  void start();
  void stop() noexcept;

  /// \returns whether one new request is to be refused
  [[nodiscard]] bool sheds();
  /// \returns whether callers had better be dealt to other hosts
  [[nodiscard]] bool busy() const;

 private:
  void run();
  void note(time_ms lateness, time_ms since);

  const clock& time_;
  structured_log& log_;
  mutable ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any wake_;
  load_shedding shedding_;
  random_source random_;
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute
