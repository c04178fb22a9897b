#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief One fault of a document: where it is, what is wrong, and the name that was likely meant.
struct problem {
  std::string file;
  std::string pointer; ///< JSON pointer of the value concerned; empty for the whole document
  std::string reason;
  std::string nearest; ///< nearest valid name; empty when none is near

  bool operator==(const problem&) const = default;
};

/// \brief Writes `FILE: /pointer: reason (did you mean "name"?)`.
std::ostream& operator<<(std::ostream& out, const problem& fault);
[[nodiscard]] std::string to_text(const problem& fault);
[[nodiscard]] std::string to_text(const std::vector<problem>& faults);

/// \returns the entry of `names` nearest to `word` by edit distance, or "" when all are far
[[nodiscard]] std::string nearest_name(std::string_view word,
                                       const std::vector<std::string>& names);

} // namespace sedgechute
