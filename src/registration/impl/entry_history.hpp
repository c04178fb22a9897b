#pragma once

#include "registration/impl/entry_stamp.hpp"
#include "registration/impl/entry_verdict.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief What became of the last entry under an id.
enum class entry_presence {
  listed,
  removed,
  unusable, ///< something that is no entry was written over it
};

/// \brief What is remembered of the entries under one id.
struct entry_history {
  static constexpr std::size_t max_replaced = 8;

  std::optional<entry_stamp> newest;
  entry_presence presence{entry_presence::listed};
  bool confirmed{false};             ///< the process of `newest` has written several entries
  std::vector<entry_stamp> replaced; ///< newest entry of each earlier process; the latest last
  /// Since when the list ends with an entry that was rejected.
  std::optional<time_ms> rejected_since;
};

/// \brief Decides whether an entry supersedes what is known.
[[nodiscard]] entry_verdict classify(const entry_history& known, const entry_stamp& entry);

/// \brief Records an entry of the list and its verdict.
void record(entry_history& known, const entry_stamp& entry, entry_verdict verdict, time_ms now);
void record_removal(entry_history& known);
/// \brief Records that something that is no entry was written under the id.
void record_unusable(entry_history& known);

/// \returns whether an entry that was rejected has been the last one for so long that only a
/// running endpoint can have written it
/// \param followed_since  since when all changes of the list have been read
/// \param settle          longer than an entry stays in the list that nobody renews
[[nodiscard]] bool is_settled(const entry_history& known, time_ms followed_since, time_ms settle,
                              time_ms now) noexcept;

} // namespace sedgechute
