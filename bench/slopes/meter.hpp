#pragma once

#include <algorithm>

namespace sedgechute::slopes {

/// \returns bytes handed out by the allocator and not given back
[[nodiscard]] double allocated_bytes();

/// \returns processor time of this thread, in microseconds
[[nodiscard]] double thread_cpu_us();
/// \returns processor time of the whole process, in microseconds
[[nodiscard]] double process_cpu_us();

/// \brief Starts a new peak of resident memory at the present amount.
void reset_peak();
/// \returns resident memory now, and its peak since the reset, in bytes
[[nodiscard]] double resident_bytes();
[[nodiscard]] double peak_bytes();

/// \returns bytes received on all TCP sockets of this process, without headers of TCP and IP
[[nodiscard]] double socket_bytes();

/// \brief Runs a measurement several times. Other programs on the machine only ever add to
/// processor time, by taking caches and clock rate, so the least is nearest to the truth.
/// \returns the least of what `measure` returned
template <typename Measure>
[[nodiscard]] double least_of(int repeats, Measure&& measure) {
  double least = measure();
  for (int i = 1; i < repeats; ++i)
    least = std::min(least, measure());
  return least;
}

/// \brief Keeps the compiler from dropping what computes `value`.
template <typename T>
void keep(const T& value) {
  asm volatile("" : : "r"(&value) : "memory");
}

} // namespace sedgechute::slopes
