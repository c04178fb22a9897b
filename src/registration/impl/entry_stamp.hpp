#pragma once

#include "kernel/kernel.hpp"

#include <cstdint>
#include <optional>

namespace sedgechute {

/// \brief What orders an entry among those of the same id.
struct entry_stamp {
  /// Start time of the process that wrote it, by its wall clock; nothing when it does not report
  /// it.
  std::optional<time_ms> started;
  std::uint64_t sequence{}; ///< increases with each write of a process
  std::uint64_t content{};  ///< hash of the other fields
  bool leaving{false};      ///< the endpoint announces that it leaves

  bool operator==(const entry_stamp&) const = default;
};

} // namespace sedgechute
