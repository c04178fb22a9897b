#pragma once

#include "kernel/impl/ordered_mutex.hpp"
#include "kernel/impl/time_ms.hpp"

#include <chrono>
#include <condition_variable>

namespace sedgechute {

/// \brief The pauses of threads that do something again and again until they are told to stop.
/// Thread-safe.
class stoppable_pause {
 public:
  /// \brief Ends all pauses, now and from now on.
  void stop() noexcept {
    const std::scoped_lock lock{mutex_};
    stopped_ = true;
    wake_.notify_all();
  }
  [[nodiscard]] bool stopped() const {
    const std::scoped_lock lock{mutex_};
    return stopped_;
  }
  /// \returns false when it is time to stop
  [[nodiscard]] bool pause(time_ms span) {
    std::unique_lock lock{mutex_};
    return !wake_.wait_for(lock, std::chrono::milliseconds{span.count()},
                           [this] { return stopped_; });
  }

 private:
  mutable ordered_mutex mutex_{lock_rank::worker_pool}; // nothing is locked while it is held
  std::condition_variable_any wake_;
  bool stopped_{false};
};

} // namespace sedgechute
