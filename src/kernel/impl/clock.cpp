#include "kernel/impl/clock.hpp"

#include <chrono>

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
