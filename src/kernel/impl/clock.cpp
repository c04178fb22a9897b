#include "kernel/impl/clock.hpp"

#include <chrono>
#include <ctime>

namespace sedgechute {

namespace {

template <typename Clock>
time_ms read() noexcept {
  using std::chrono::milliseconds;
  const auto since_origin = Clock::now().time_since_epoch();
  return time_ms{std::chrono::duration_cast<milliseconds>(since_origin).count()};
}

} // namespace

time_ms steady_clock::now() const noexcept {
  return read<std::chrono::steady_clock>();
}

time_ms boot_clock::now() const noexcept {
  constexpr std::int64_t ms_a_second = 1000;
  constexpr std::int64_t ns_a_ms = 1'000'000;
  timespec since{};
  clock_gettime(CLOCK_BOOTTIME, &since);
  return time_ms{since.tv_sec * ms_a_second + since.tv_nsec / ns_a_ms};
}

time_ms manual_clock::now() const noexcept {
  return time_ms{count_.load()};
}

void manual_clock::advance(time_ms span) noexcept {
  count_ += span.count();
}

time_ms wall_time() noexcept {
  return read<std::chrono::system_clock>();
}

} // namespace sedgechute
