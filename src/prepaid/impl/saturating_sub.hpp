#pragma once

#include <cstdint>

namespace sedgechute {

/// \returns `a - b`; 0 if `b` is larger
[[nodiscard]] constexpr std::uint64_t saturating_sub(std::uint64_t a, std::uint64_t b) noexcept {
  return a > b ? a - b : 0;
}

} // namespace sedgechute
