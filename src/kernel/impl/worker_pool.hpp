#pragma once

#include "kernel/impl/ordered_mutex.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief A fixed number of threads over one queue of tasks.
class worker_pool {
 public:
  using task = std::function<void()>;

  explicit worker_pool(std::size_t workers);
  worker_pool(const worker_pool&) = delete;
  worker_pool& operator=(const worker_pool&) = delete;
  /// \brief Runs what is queued, then joins the threads.
  ~worker_pool();

  /// \returns false once the pool is stopping; the task is then not kept.
  [[nodiscard]] bool submit(task work);

  /// \brief Takes no new task, runs what is queued and joins. May be called twice.
  void stop();

 private:
  void run();

  ordered_mutex mutex_{lock_rank::worker_pool};
  std::condition_variable_any wake_;
  std::deque<task> tasks_;
  bool stopping_{false};
  std::vector<std::thread> threads_;
};

} // namespace sedgechute
