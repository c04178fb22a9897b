#pragma once

#include "kernel/impl/time_ms.hpp"

#include <atomic>

namespace sedgechute {

/// \brief Source of the current instant. Pure logic takes a `time_ms` argument instead.
class clock {
 public:
  clock() = default;
  clock(const clock&) = delete;
  clock& operator=(const clock&) = delete;
  virtual ~clock() = default;

  [[nodiscard]] virtual time_ms now() const noexcept = 0;
};

/// \brief The host's monotonic clock; unaffected by changes of the wall clock.
class steady_clock final : public clock {
 public:
  [[nodiscard]] time_ms now() const noexcept override;
};

/// \brief The machine's clock since it was started. Unlike `steady_clock` it also counts the time
/// that the machine was suspended, and goes on over restarts of the process.
class boot_clock final : public clock {
 public:
  [[nodiscard]] time_ms now() const noexcept override;
};

/// \brief A clock that moves only when told to, for tests.
class manual_clock final : public clock {
 public:
  [[nodiscard]] time_ms now() const noexcept override;
  void advance(time_ms span) noexcept;

 private:
  std::atomic<std::int64_t> count_{0};
};

/// \returns wall-clock time since 1970 in milliseconds. It may jump by seconds: for logs and
/// reports, and for `clock_reading`, which tells how far it may be off.
[[nodiscard]] time_ms wall_time() noexcept;

} // namespace sedgechute
