#include "telemetry/impl/json_text.hpp"

#include <cstdint>

namespace sedgechute {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char first_beyond_ascii = 0x80;

/// \returns how many bytes the sequence that `lead` begins has; 0 when none begins so
std::size_t sequence_length(unsigned char lead) noexcept {
  if (lead < first_beyond_ascii)
    return 1;
  if (lead >= 0xc2 && lead < 0xe0)
    return 2;
  if (lead >= 0xe0 && lead < 0xf0)
    return 3;
  if (lead >= 0xf0 && lead < 0xf5)
    return 4;
  return 0;
}

bool is_utf8(std::string_view text) noexcept {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t length = sequence_length(static_cast<unsigned char>(text[at]));
    if (length == 0 || at + length > text.size())
      return false;
    for (std::size_t i = 1; i < length; ++i)
      if ((static_cast<unsigned char>(text[at + i]) & 0xc0U) != first_beyond_ascii)
        return false;
    at += length;
  }
  return true;
}

void append_control(std::string& out, unsigned char c) {
  static constexpr std::string_view digits = "0123456789abcdef";
  out += "\\u00";
  out += digits[c >> 4U];
  out += digits[c & 0xfU];
}

} // namespace

void append_json_string(std::string& out, std::string_view text) {
  const bool valid = is_utf8(text);
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
      (out += '\\') += c;
    else if (byte < first_printable)
      append_control(out, byte);
    else if (byte >= first_beyond_ascii && !valid)
      out += '?';
    else
      out += c;
  }
  out += '"';
}

} // namespace sedgechute
