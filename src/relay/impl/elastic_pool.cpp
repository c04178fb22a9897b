#include "relay/impl/elastic_pool.hpp"

#include <Poco/Exception.h>

#include <chrono>
#include <utility>

namespace sedgechute {

bool elastic_pool::run(task work) {
  const std::scoped_lock lock{mutex_};
  if (stopping_)
    return false;
  join_ended();
  const bool may_grow = workers_.size() < options_.max_threads;
  if (!may_grow && tasks_.size() >= idle_ + options_.max_queued)
    return false;
  tasks_.push_back({std::move(work), time_.now()});
  if (tasks_.size() <= idle_ || !may_grow) {
    wake_.notify_one();
    return true;
  }
  auto& added = *workers_.emplace_back(std::make_unique<worker>());
  try {
    added.thread.setStackSize(options_.stack_bytes);
    added.thread.startFunc([this, &added] { serve(added); });
  } catch (const Poco::Exception&) {
    workers_.pop_back(); // no thread could be started: the task waits for a running one
    if (workers_.empty()) {
      tasks_.pop_back();
      return false;
    }
  }
  return true;
}

time_ms elastic_pool::longest_wait() const {
  const std::scoped_lock lock{mutex_};
  return tasks_.empty() ? time_ms{} : time_.now() - tasks_.front().since;
}

void elastic_pool::serve(worker& self) {
  std::unique_lock lock{mutex_};
  for (;;) {
    ++idle_;
    const bool woken =
        wake_.wait_for(lock, std::chrono::milliseconds{options_.idle_timeout.count()},
                       [this] { return stopping_ || !tasks_.empty(); });
    --idle_;
    if (stopping_ || !woken)
      break;
    task work = std::move(tasks_.front().work);
    tasks_.pop_front();
    lock.unlock();
    work();
    work = nullptr;
    lock.lock();
  }
  self.ended = true;
  ++ended_;
}

// An ended thread has set `ended` as its last step under the lock, so joining it does not block.
void elastic_pool::join_ended() noexcept {
  for (auto at = workers_.begin(); ended_ > 0 && at != workers_.end();) {
    if ((*at)->ended) {
      (*at)->thread.join();
      at = workers_.erase(at);
      --ended_;
    } else {
      ++at;
    }
  }
}

void elastic_pool::stop() noexcept {
  std::list<std::unique_ptr<worker>> workers;
  std::deque<queued_task> dropped;
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    workers.swap(workers_);
    dropped.swap(tasks_);
    wake_.notify_all();
  }
  for (const auto& one : workers)
    one->thread.join();
}

} // namespace sedgechute
