#pragma once

#include "config/config.hpp"

#include <ostream>

namespace sedgechute::cli {

/// \brief Writes the objects of a list as a table with a line of column names.
/// \param columns names of the members to show
void print_table(std::ostream& out, const json_node& rows, const std::vector<std::string>& columns);

/// \returns the names of all members of the rows, in the order that readers expect
[[nodiscard]] std::vector<std::string> columns_of(const json_node& rows);

/// \brief Writes the plain members of an object, one a line; lists, objects and empty texts are
/// left out.
void print_members(std::ostream& out, const json_node& object);

/// \returns a value as a reader wants it: text without quotes, nothing for a missing value
[[nodiscard]] std::string shown(const json_node* value);

/// \returns the member's text, or "" when it is missing or no text
[[nodiscard]] std::string text_member(const json_node& object, std::string_view name);
/// \returns the member's whole number, or 0 when it is missing or none
[[nodiscard]] std::int64_t number_member(const json_node& object, std::string_view name);
[[nodiscard]] bool true_member(const json_node& object, std::string_view name);

[[nodiscard]] json_node problems_node(const std::vector<problem>& problems);

} // namespace sedgechute::cli
