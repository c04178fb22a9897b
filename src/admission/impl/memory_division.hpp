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
  /// Of callers: their buffers, in the process and in the kernel. What exceeds it is taken from
  /// `bodies`.
  std::size_t connections{unbounded};

  [[nodiscard]] bool bounded() const noexcept { return bodies != unbounded; }
};

/// Memory that a host without a setting counts on, in MB.
constexpr double default_memory_mb = 88;

/// \param setting_mb  memory by the settings; nothing where they name none
/// \param machine_mb  memory of the machine, as its kernel tells it
/// \returns the memory that a host divides, in MB: never more than the machine has
[[nodiscard]] double usable_memory(std::optional<double> setting_mb, double machine_mb) noexcept;

/// \brief Divides the memory of the machine.
/// \param memory_mb  nothing: unbounded
[[nodiscard]] memory_division divide_memory(std::optional<double> memory_mb) noexcept;

} // namespace sedgechute
