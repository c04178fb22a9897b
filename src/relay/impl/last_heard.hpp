#pragma once

#include "kernel/kernel.hpp"

#include <atomic>
#include <cstdint>

namespace sedgechute {

/// \brief When this host last received bytes from an endpoint. Requests note it without a lock.
class last_heard {
 public:
  void note(time_ms now) noexcept { at_.store(now.count(), std::memory_order_relaxed); }
  [[nodiscard]] time_ms at() const noexcept { return time_ms{at_.load(std::memory_order_relaxed)}; }

 private:
  std::atomic<std::int64_t> at_{0};
};

} // namespace sedgechute
