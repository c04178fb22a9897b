#pragma once

#include "kernel/kernel.hpp"

#include <functional>
#include <map>

namespace sedgechute::soak {

/// \brief Steps that are due later. What is begun goes on beside what comes next, so that series of
/// steps overlap.
class agenda {
 public:
  using step = std::function<void()>;

  void add(time_ms at, step what) { steps_.emplace(at, std::move(what)); }

  /// \brief Takes the steps that are due; a step may add others.
  void run_due(time_ms now) {
    while (!steps_.empty() && steps_.begin()->first <= now) {
      const auto due = steps_.extract(steps_.begin());
      due.mapped()();
    }
  }

  [[nodiscard]] bool empty() const noexcept { return steps_.empty(); }
  void clear() noexcept { steps_.clear(); }

 private:
  std::multimap<time_ms, step> steps_;
};

} // namespace sedgechute::soak
