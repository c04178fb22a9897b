#pragma once

#include "kernel/kernel.hpp"

namespace sedgechute {

/// \brief Whether an entry supersedes what is known of its id.
enum class entry_verdict {
  newest,         ///< it does
  repeated,       ///< it is the newest entry once more
  outdated,       ///< a later entry of the same process is known
  replaced_start, ///< its process has been replaced by another one
  unproven_start, ///< of an unknown process, which seems to be older than one that leaves
};

template <>
struct enum_names<entry_verdict> {
  static constexpr auto entries =
      enum_table<entry_verdict>({{entry_verdict::newest, "newest"},
                                 {entry_verdict::repeated, "repeated"},
                                 {entry_verdict::outdated, "outdated"},
                                 {entry_verdict::replaced_start, "replaced_start"},
                                 {entry_verdict::unproven_start, "unproven_start"}});
};

/// \returns whether an entry with this verdict is rejected
[[nodiscard]] constexpr bool is_rejected(entry_verdict verdict) noexcept {
  return verdict != entry_verdict::newest && verdict != entry_verdict::repeated;
}

} // namespace sedgechute
