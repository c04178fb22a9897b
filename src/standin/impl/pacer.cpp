#include "standin/impl/pacer.hpp"

namespace sedgechute::standin {

pacer::pacer() : thread_{[this] { run(); }} {}

pacer::~pacer() {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void pacer::at(instant due, task work) {
  bool sooner = false;
  {
    const std::scoped_lock lock{mutex_};
    sooner = entries_.empty() || due < entries_.top().due;
    entries_.push({due, next_order_++, std::move(work)});
  }
  if (sooner)
    wake_.notify_one();
}

void pacer::run() {
  std::unique_lock lock{mutex_};
  while (!stopping_) {
    if (entries_.empty()) {
      wake_.wait(lock);
      continue;
    }
    const instant due = entries_.top().due;
    if (due > std::chrono::steady_clock::now()) {
      wake_.wait_until(lock, due);
      continue;
    }
    // The queue orders by due and order alone, so moving the task out leaves it sound.
    task work = std::move(const_cast<entry&>(entries_.top()).work);
    entries_.pop();
    lock.unlock();
    work();
    lock.lock();
  }
}

} // namespace sedgechute::standin
