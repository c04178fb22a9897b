#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace sedgechute::standin {

/// \brief One thread that runs small tasks at their instants; it paces the tokens of every engine
/// in the process, so that the threads of connections mostly sleep.
class pacer {
 public:
  using instant = std::chrono::steady_clock::time_point;
  using task = std::function<void()>;

  pacer();
  pacer(const pacer&) = delete;
  pacer& operator=(const pacer&) = delete;
  ~pacer();

  void at(instant due, task work);

 private:
  struct entry {
    instant due;
    std::uint64_t order; ///< tasks of one instant run in the order they came
    task work;
  };
  struct later {
    bool operator()(const entry& a, const entry& b) const noexcept {
      return a.due != b.due ? a.due > b.due : a.order > b.order;
    }
  };

  void run();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::priority_queue<entry, std::vector<entry>, later> entries_;
  std::uint64_t next_order_{0};
  bool stopping_{false};
  std::thread thread_;
};

} // namespace sedgechute::standin
