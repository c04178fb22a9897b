#include "gateway/impl/body_decoder.hpp"

#include <Poco/Exception.h>

#include <algorithm>
#include <charconv>

namespace sedgechute {

namespace {

constexpr std::size_t longest_chunk_line = 256;
constexpr std::size_t most_trailer_lines = 16;
constexpr std::size_t most_size_digits = 8;

struct body_fault {
  body_state state;
};

} // namespace

body_decoder::body_decoder(byte_source& source, const message_framing& framing)
    : source_{source}, framing_{framing.body}, state_{framing.body == body_framing::none ||
                                                              (framing.body ==
                                                                   body_framing::stated &&
                                                               framing.bytes == 0)
                                                          ? body_state::whole
                                                          : body_state::open},
      left_{framing.body == body_framing::stated ? framing.bytes : 0} {}

std::size_t body_decoder::read(char* into, std::size_t most) {
  if (state_ != body_state::open)
    return 0;
  try {
    return decode(into, most);
  } catch (const body_fault& fault) {
    state_ = fault.state;
  } catch (const error&) {
    state_ = body_state::slow;
  } catch (const Poco::Exception&) {
    state_ = body_state::ended_early;
  }
  return 0;
}

std::size_t body_decoder::decode(char* into, std::size_t most) {
  if (framing_ == body_framing::chunked)
    return decode_chunked(into, most);
  if (framing_ == body_framing::until_close)
    return decode_until_close(into, most);
  const std::size_t got = take(into, most);
  if (left_ == 0)
    state_ = body_state::whole;
  return got;
}

std::size_t body_decoder::decode_chunked(char* into, std::size_t most) {
  if (in_chunk_ && left_ == 0)
    expect_line_end();
  if (!in_chunk_)
    open_chunk();
  if (left_ > 0)
    return take(into, most);
  read_trailer();
  state_ = body_state::whole;
  return 0;
}

std::size_t body_decoder::decode_until_close(char* into, std::size_t most) {
  const std::size_t got = source_.read_some(into, most);
  if (got == 0)
    state_ = body_state::whole;
  return got;
}

std::size_t body_decoder::take(char* into, std::size_t most) {
  const std::size_t got = source_.read_some(into, std::min<std::uint64_t>(left_, most));
  if (got == 0)
    throw body_fault{body_state::ended_early};
  left_ -= got;
  return got;
}

void body_decoder::open_chunk() {
  const std::string line = read_line();
  const std::size_t digits = std::min(line.find(';'), line.size());
  const char* end = line.data() + digits;
  const auto [stop, fault] = std::from_chars(line.data(), end, left_, 16);
  if (digits == 0 || digits > most_size_digits || fault != std::errc{} || stop != end)
    throw body_fault{body_state::malformed};
  in_chunk_ = true;
}

void body_decoder::read_trailer() {
  for (std::size_t lines = 0; !read_line().empty(); ++lines)
    if (lines == most_trailer_lines)
      throw body_fault{body_state::malformed};
}

void body_decoder::expect_line_end() {
  if (!read_line().empty())
    throw body_fault{body_state::malformed};
  in_chunk_ = false;
}

std::string body_decoder::read_line() {
  std::string line;
  for (char byte = read_byte(); byte != '\r'; byte = read_byte()) {
    if (byte == '\n' || line.size() == longest_chunk_line)
      throw body_fault{body_state::malformed};
    line += byte;
  }
  if (read_byte() != '\n')
    throw body_fault{body_state::malformed};
  return line;
}

char body_decoder::read_byte() {
  const int byte = source_.next_byte();
  if (byte < 0)
    throw body_fault{body_state::ended_early};
  return static_cast<char>(byte);
}

} // namespace sedgechute
