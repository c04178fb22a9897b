#include "admission/impl/memory_division.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double mb = 1024.0 * 1024.0;

// A host uses 11 MB without load and some 13 MB more under load, for stacks of threads, connections
// and queued log lines. The longest answer, which may exceed the limit of the answers, has 8 MB.
constexpr double kept_mb = 32;
constexpr double max_kept_part = 0.5;     // of the memory of a very small machine
constexpr double min_kept_part = 0.25;    // for the allocator and the buffers of connections
constexpr double connections_part = 0.25; // of what is kept

// On a machine of 88 MB the bodies get 44 MB: 600 open requests with bodies of 75 kB need 43.
// Answers need least, as small ones are not limited and others only wait.
constexpr double bodies_part = 11.0 / 14;
constexpr double reserve_part = 2.0 / 14;
constexpr double answers_part = 1.0 / 14;

std::size_t bytes_of(double megabytes) noexcept {
  return static_cast<std::size_t>(megabytes * mb);
}

} // namespace

// The kernel tells the memory of the whole machine, of which a process may be allowed only a small
// part, so it bounds the setting and does not replace it.
double usable_memory(std::optional<double> setting_mb, double machine_mb) noexcept {
  return std::min(setting_mb.value_or(default_memory_mb), machine_mb);
}

memory_division divide_memory(std::optional<double> memory_mb) noexcept {
  if (!memory_mb)
    return {};
  const double kept =
      std::max(std::min(kept_mb, *memory_mb * max_kept_part), *memory_mb * min_kept_part);
  const double rest = *memory_mb - kept;
  return {.bodies = bytes_of(rest * bodies_part),
          .answers = bytes_of(rest * answers_part),
          .reserve = bytes_of(rest * reserve_part),
          .connections = bytes_of(kept * connections_part)};
}

} // namespace sedgechute
