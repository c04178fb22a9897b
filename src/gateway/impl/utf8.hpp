#pragma once

#include <string_view>

namespace sedgechute {

/// \returns whether `text` is well-formed UTF-8: no overlong form, surrogate or code point above
/// U+10FFFF.
[[nodiscard]] bool is_valid_utf8(std::string_view text) noexcept;

} // namespace sedgechute
