#include "intake/impl/chunk_decoder.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::size_t max_line_bytes = 256;
constexpr std::size_t max_trailer_lines = 16;
constexpr std::size_t max_size_digits = 8;
constexpr unsigned not_a_digit = 16;

unsigned hex_digit(char c) noexcept {
  if (c >= '0' && c <= '9')
    return static_cast<unsigned>(c - '0');
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? static_cast<unsigned>(lower - 'a') + 10 : not_a_digit;
}

} // namespace

std::size_t chunk_decoder::decode(std::string_view bytes, std::string& into) {
  std::size_t used = 0;
  while (used < bytes.size() && state_ == chunk_state::arriving) {
    if (at_ != part::data) {
      take_framing(bytes[used++]);
      continue;
    }
    const std::size_t count = std::min<std::uint64_t>(left_, bytes.size() - used);
    into.append(bytes.substr(used, count));
    used += count;
    body_ += count;
    left_ -= count;
    if (left_ == 0)
      at_ = part::data_end;
  }
  return used;
}

void chunk_decoder::take_framing(char byte) {
  if (++framing_ > bounds_.framing_bytes + body_ * bounds_.framing_per_byte) {
    state_ = chunk_state::excessive_framing;
    return;
  }
  if (line_ending_) {
    line_ending_ = false;
    return byte == '\n' ? end_line() : fail();
  }
  if (byte == '\r') {
    line_ending_ = true;
    return;
  }
  if (byte == '\n' || ++line_bytes_ > max_line_bytes || at_ == part::data_end)
    return fail();
  if (at_ != part::size || extension_)
    return;
  if (byte == ';' && digits_ > 0) {
    extension_ = true;
    return;
  }
  const unsigned digit = hex_digit(byte);
  if (digit == not_a_digit || ++digits_ > max_size_digits)
    return fail();
  left_ = left_ * 16 + digit;
}

void chunk_decoder::end_line() {
  const bool empty = line_bytes_ == 0;
  line_bytes_ = 0;
  switch (at_) {
  case part::size:
    return end_size();
  case part::data_end:
    at_ = part::size;
    return;
  case part::trailer:
    if (empty)
      state_ = chunk_state::whole;
    else if (++lines_ > max_trailer_lines)
      fail();
    return;
  case part::data:
    return;
  }
}

void chunk_decoder::end_size() {
  if (digits_ == 0)
    return fail();
  digits_ = 0;
  extension_ = false;
  at_ = left_ > 0 ? part::data : part::trailer;
  // Refused by its size, a chunk need not arrive first.
  if (body_ + left_ > bounds_.body_bytes)
    state_ = chunk_state::too_large;
}

} // namespace sedgechute
