#pragma once

#include "config/config.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sedgechute {

/// \brief Least and greatest value, both allowed.
struct number_bounds {
  double least{};
  double most{};
};

/// \brief One setting of an entry host.
struct entry_setting {
  field_info field;
  number_bounds bounds{}; ///< of a number
};

/// \returns every setting; docs/SETTINGS.md tells them, and whoever reads settings goes by them
[[nodiscard]] const std::vector<entry_setting>& entry_settings_table();

/// \throws std::logic_error when the table has none of that name
[[nodiscard]] const entry_setting& entry_setting_named(std::string_view name);

[[nodiscard]] bool is_entry_setting(std::string_view name) noexcept;

/// \returns the table of docs/SETTINGS.md
[[nodiscard]] std::string entry_settings_page();

} // namespace sedgechute
