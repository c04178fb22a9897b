#pragma once

#include "config/impl/object_table.hpp"

#include <optional>

namespace sedgechute {

/// \brief A document that was read, or all that is wrong with it.
template <typename T>
struct checked {
  std::optional<T> value;
  std::vector<problem> problems;

  [[nodiscard]] explicit operator bool() const noexcept { return value.has_value(); }
};

/// \brief The schema version that this program writes and reads.
inline constexpr std::int64_t current_schema = 1;

/// \brief Parses text and notes what keeps it from being checked further: bad JSON, or another
/// schema, whose fields this program could only misjudge.
/// \returns nothing when the document can't be checked further
[[nodiscard]] std::optional<json_node> open_document(std::string_view text, check_run& run);

/// \brief Checks a whole document by its table and reports all of its faults.
template <typename T>
[[nodiscard]] checked<T> check_document(const object_table<T>& table, const std::string& file,
                                        std::string_view text) {
  check_run run{file};
  T value{};
  if (const auto root = open_document(text, run))
    table.read(*root, value, run);
  if (!run.problems().empty())
    return {std::nullopt, run.problems()};
  return {std::move(value), {}};
}

} // namespace sedgechute
