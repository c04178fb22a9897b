#include "admission/impl/memory_division.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr double mb = 1024.0 * 1024.0;

// A host uses 11 MB without load. Stacks of threads, connections and queued log lines take the
// rest of this.
constexpr double program_mb = 24;
constexpr double max_program_part = 0.5; // of the memory of a very small machine

// The remaining quarter is left to the allocator, to buffers of connections and to the one answer
// that may exceed the limit of the answers.
constexpr double bodies_part = 0.375;
constexpr double answers_part = 0.25;
constexpr double reserve_part = 0.125;

std::size_t bytes_of(double megabytes) noexcept {
  return static_cast<std::size_t>(megabytes * mb);
}

} // namespace

memory_division divide_memory(std::optional<double> memory_mb) noexcept {
  if (!memory_mb)
    return {};
  const double rest = *memory_mb - std::min(program_mb, *memory_mb * max_program_part);
  return {.bodies = bytes_of(rest * bodies_part),
          .answers = bytes_of(rest * answers_part),
          .reserve = bytes_of(rest * reserve_part)};
}

} // namespace sedgechute
