#include "config/impl/problem.hpp"

#include <algorithm>
#include <numeric>
#include <sstream>
#include <string_view>

namespace sedgechute {
namespace {

/// Longer words are not names that somebody mistyped; the bound also keeps the cost small.
constexpr std::size_t longest_compared = 64;

/// Levenshtein distance.
[[nodiscard]] std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
    }
  }
  return row.back();
}

} // namespace

std::ostream& operator<<(std::ostream& out, const problem& fault) {
  if (!fault.file.empty())
    out << fault.file << ": ";
  out << (fault.pointer.empty() ? "document" : fault.pointer) << ": " << fault.reason;
  if (!fault.nearest.empty())
    out << " (did you mean \"" << fault.nearest << "\"?)";
  return out;
}

std::string to_text(const problem& fault) {
  std::ostringstream out;
  out << fault;
  return out.str();
}

std::string to_text(const std::vector<problem>& faults) {
  std::ostringstream out;
  for (std::size_t i = 0; i < faults.size(); ++i)
    out << (i > 0 ? "\n" : "") << faults[i];
  return out.str();
}

std::string nearest_name(std::string_view word, const std::vector<std::string>& names) {
  if (word.size() > longest_compared)
    return {};
  std::size_t least = std::string::npos;
  std::string nearest;
  for (const auto& name : names) {
    const std::size_t distance = edit_distance(word, name);
    const bool near = distance * 2 <= std::max(word.size(), name.size()) || distance <= 1;
    if (near && distance < least) {
      least = distance;
      nearest = name;
    }
  }
  return nearest;
}

} // namespace sedgechute
