#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Thread.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <memory>

namespace sedgechute {

struct elastic_pool_options {
  std::size_t max_threads{700};
  std::size_t max_queued{256}; ///< tasks waiting while no thread is idle
  time_ms idle_timeout{5000};  ///< after which an idle thread ends
  int stack_bytes{256 * 1024};
};

/// \brief A thread pool that grows up to `max_threads` and ends threads that stay idle. Submitting
/// a task does not wait for a thread to start. Thread-safe.
class elastic_pool {
 public:
  using task = std::function<void()>;

  explicit elastic_pool(const elastic_pool_options& options) : options_{options} {}
  elastic_pool(const elastic_pool&) = delete;
  elastic_pool& operator=(const elastic_pool&) = delete;
  /// \brief Drops queued tasks and waits for running ones.
  ~elastic_pool() { stop(); }

  /// \returns false when the queue is full, no thread can be started, or the pool is stopping
  [[nodiscard]] bool run(task work);
  void stop() noexcept;
  /// \returns how long the first queued task has been waiting for a thread; 0 when none waits
  [[nodiscard]] time_ms longest_wait() const;

 private:
  struct queued_task {
    task work;
    time_ms since;
  };
  struct worker {
    Poco::Thread thread;
    bool ended{false};
  };

  void serve(worker& self);
  void join_ended() noexcept;

  elastic_pool_options options_;
  steady_clock time_;
  mutable ordered_mutex mutex_{lock_rank::worker_pool};
  std::condition_variable_any wake_;
  std::deque<queued_task> tasks_;
  std::list<std::unique_ptr<worker>> workers_;
  std::size_t idle_{0};
  std::size_t ended_{0}; ///< workers that have ended and not been joined
  bool stopping_{false};
};

} // namespace sedgechute
