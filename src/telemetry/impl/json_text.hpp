#pragma once

#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Appends `text` as a JSON string in quotes. Text that is not UTF-8 has its bytes outside
/// ASCII replaced by `?`, so that the result is always valid.
void append_json_string(std::string& out, std::string_view text);

} // namespace sedgechute
