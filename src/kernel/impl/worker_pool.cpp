#include "kernel/impl/worker_pool.hpp"

#include <utility>

namespace sedgechute {

worker_pool::worker_pool(std::size_t workers) {
  threads_.reserve(workers);
  for (std::size_t i = 0; i < workers; ++i)
    threads_.emplace_back([this] { run(); });
}

worker_pool::~worker_pool() {
  stop();
}

bool worker_pool::submit(task work) {
  {
    const std::scoped_lock lock{mutex_};
    if (stopping_)
      return false;
    tasks_.push_back(std::move(work));
  }
  wake_.notify_one();
  return true;
}

void worker_pool::stop() {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_)
    if (thread.joinable())
      thread.join();
}

void worker_pool::run() {
  for (;;) {
    task work;
    {
      std::unique_lock lock{mutex_};
      wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (tasks_.empty())
        return;
      work = std::move(tasks_.front());
      tasks_.pop_front();
    }
    work();
  }
}

} // namespace sedgechute
