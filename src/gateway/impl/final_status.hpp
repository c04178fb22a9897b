#pragma once

namespace sedgechute {

/// \returns whether an answer may have this status: neither interim nor outside HTTP's classes
[[nodiscard]] constexpr bool is_final_status(int status) noexcept {
  constexpr int first = 200;
  constexpr int last = 599;
  return status >= first && status <= last;
}

} // namespace sedgechute
