#pragma once

#include "config/impl/value_rule.hpp"

namespace sedgechute {

/// \returns a Markdown table of the fields, nested ones included, with type, unit, range, default
/// and meaning
[[nodiscard]] std::string schema_page(const std::vector<field_info>& fields);

} // namespace sedgechute
