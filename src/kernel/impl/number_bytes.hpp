#pragma once

#include <bit>
#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

namespace sedgechute {

/// \brief Appends a whole number as `sizeof(Number)` bytes.
/// \tparam order  little: the lowest byte comes first
template <std::endian order, std::unsigned_integral Number>
void append_number(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const std::size_t place = order == std::endian::little ? i : sizeof(Number) - 1 - i;
    bytes += static_cast<char>(number >> (8 * place) & 0xffU);
  }
}

/// \brief Takes a whole number off the front of `bytes`, which hold at least that many.
template <std::endian order, std::unsigned_integral Number>
[[nodiscard]] Number take_number(std::string_view& bytes) noexcept {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const std::size_t place = order == std::endian::little ? i : sizeof(Number) - 1 - i;
    const auto byte = static_cast<Number>(static_cast<unsigned char>(bytes[i]));
    number = static_cast<Number>(number | static_cast<Number>(byte << (8 * place)));
  }
  bytes.remove_prefix(sizeof(Number));
  return number;
}

} // namespace sedgechute
