#include "intake/impl/body_capacity.hpp"

#include <algorithm>

namespace sedgechute {

std::size_t grown_capacity(std::size_t capacity, std::size_t needed, std::size_t most) noexcept {
  if (needed <= capacity)
    return capacity;
  return std::max(needed, std::min(2 * capacity, most));
}

} // namespace sedgechute
