#pragma once

#include <cstddef>
#include <limits>
#include <optional>

namespace sedgechute {

/// Largest message, in bytes, that is held within the reserve.
constexpr std::size_t small_message_bytes = std::size_t{16} << 10U;

/// \brief What a host may hold of the messages that it passes on, in bytes.
struct memory_division {
  static constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();

  std::size_t bodies{unbounded};  ///< of requests
  std::size_t answers{unbounded}; ///< that callers have not read
  std::size_t reserve{0};         ///< for small bodies, beyond `bodies`

  [[nodiscard]] bool bounded() const noexcept { return bodies != unbounded; }
};

/// \brief Divides the memory of the machine.
/// \param memory_mb  nothing: unbounded
[[nodiscard]] memory_division divide_memory(std::optional<double> memory_mb) noexcept;

} // namespace sedgechute
