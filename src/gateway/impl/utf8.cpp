#include "gateway/impl/utf8.hpp"

#include <cstdint>

namespace sedgechute {

namespace {

struct sequence_form {
  std::size_t length;    ///< bytes in all; 0 for an invalid first byte
  std::uint32_t initial; ///< payload bits of the first byte
  std::uint32_t least;   ///< smallest code point that needs this length
};

sequence_form form_of(unsigned char first) noexcept {
  if (first < 0x80)
    return {1, first, 0};
  if ((first & 0xe0U) == 0xc0)
    return {2, first & 0x1fU, 0x80};
  if ((first & 0xf0U) == 0xe0)
    return {3, first & 0x0fU, 0x800};
  if ((first & 0xf8U) == 0xf0)
    return {4, first & 0x07U, 0x10000};
  return {0, 0, 0};
}

bool is_scalar(std::uint32_t code_point) noexcept {
  const bool surrogate = code_point >= 0xd800 && code_point <= 0xdfff;
  return !surrogate && code_point <= 0x10ffff;
}

} // namespace

bool is_valid_utf8(std::string_view text) noexcept {
  std::size_t i = 0;
  while (i < text.size()) {
    const sequence_form form = form_of(static_cast<unsigned char>(text[i]));
    if (form.length == 0 || i + form.length > text.size())
      return false;
    std::uint32_t code_point = form.initial;
    for (std::size_t k = 1; k < form.length; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if ((next & 0xc0U) != 0x80)
        return false;
      code_point = (code_point << 6U) | (next & 0x3fU);
    }
    if (code_point < form.least || !is_scalar(code_point))
      return false;
    i += form.length;
  }
  return true;
}

} // namespace sedgechute
