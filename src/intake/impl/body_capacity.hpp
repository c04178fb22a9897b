#pragma once

#include <cstddef>

namespace sedgechute {

/// \returns the capacity of the buffer of a body of unknown size that is to hold `needed` bytes
/// \param capacity  of the present buffer
/// \param most      maximum size of the body
[[nodiscard]] std::size_t grown_capacity(std::size_t capacity, std::size_t needed,
                                         std::size_t most) noexcept;

} // namespace sedgechute
