#include "gateway/impl/request_header.hpp"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace sedgechute {

namespace {

// Two servers that disagree on where a body ends let a caller hide a second request in it. Poco
// joins folded lines, skips lines without a colon, takes a bare LF for a line's end and the first
// of several lengths. So the header is checked as it came, before Poco reads it.

constexpr std::string_view line_end = "\r\n";

// Given twice, they would mean one thing to a balancer and another to us.
constexpr std::array stated_once{"host",
                                 "content-length",
                                 "transfer-encoding",
                                 "authorization",
                                 "idempotency-key",
                                 "x-sedgechute-class",
                                 "x-sedgechute-idempotent"};

[[noreturn]] void refuse(const std::string& why) {
  throw error{error_kind::malformed_request, "header", why};
}

bool is_token_char(char c) noexcept {
  const bool alnum = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return alnum || std::string_view{"!#$%&'*+-.^_`|~"}.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) noexcept {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_visible(char c) noexcept {
  return c > 0x20 && c < 0x7f;
}

bool is_value_char(char c) noexcept {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

std::string_view trim(std::string_view text) noexcept {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string_view take_line(std::string_view& rest) {
  const std::size_t end = rest.find('\n');
  if (end == std::string_view::npos || end == 0 || rest[end - 1] != '\r')
    refuse("a line does not end in CRLF");
  const std::string_view line = rest.substr(0, end - 1);
  rest.remove_prefix(end + 1);
  return line;
}

/// \returns whether the request is of HTTP/1.0.
bool check_request_line(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last)
    refuse("the request line is not method, target and version");
  if (!is_token(line.substr(0, first)))
    refuse("the method is not valid");
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (target.empty() || !std::all_of(target.begin(), target.end(), is_visible) ||
      target.front() != '/')
    refuse("the target is not a path");
  const std::string_view version = line.substr(last + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    refuse("only HTTP/1.1 and HTTP/1.0 are served");
  return version == "HTTP/1.0";
}

struct header_field {
  std::string name; ///< in lower case
  std::string_view value;
};

header_field check_field(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    refuse("a field's name is not valid");
  const std::string_view value = trim(line.substr(colon + 1));
  if (!std::all_of(value.begin(), value.end(), is_value_char))
    refuse("a field's value has control characters");
  return {Poco::toLower(std::string{line.substr(0, colon)}), value};
}

std::uint64_t parse_length(std::string_view text) {
  std::uint64_t length = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), length);
  const bool whole = fault == std::errc{} && end == text.data() + text.size();
  if (!whole || length > static_cast<std::uint64_t>(INT64_MAX))
    refuse("Content-Length is not a number");
  return length;
}

/// Gathers what the fields say about the body, and refuses what is said twice.
class framing_reader {
 public:
  explicit framing_reader(bool old_version) : old_version_{old_version} {}

  void take(const header_field& field) {
    const auto once = std::find(stated_once.begin(), stated_once.end(), field.name);
    if (once != stated_once.end())
      note_once(static_cast<std::size_t>(once - stated_once.begin()));
    if (field.name == "content-length")
      set({body_framing::stated, parse_length(field.value)});
    if (field.name == "transfer-encoding") {
      if (old_version_ || Poco::icompare(std::string{field.value}, "chunked") != 0)
        refuse("only chunked transfer coding is served");
      set({body_framing::chunked, 0});
    }
  }

  [[nodiscard]] message_framing framing() const noexcept { return framing_; }

 private:
  void note_once(std::size_t index) {
    if (seen_.at(index))
      refuse(std::string{stated_once.at(index)} + " is stated twice");
    seen_.at(index) = true;
  }

  void set(message_framing framing) {
    if (framing_.body != body_framing::none)
      refuse("the body's length is stated twice");
    framing_ = framing;
  }

  bool old_version_;
  std::array<bool, stated_once.size()> seen_{};
  message_framing framing_;
};

void check_size(std::string_view line, const header_limits& limits) {
  if (line.size() > limits.line_bytes)
    throw error{error_kind::payload_too_large, "header",
                "a line of more than " + std::to_string(limits.line_bytes) + " bytes"};
}

} // namespace

message_framing check_request_header(std::string_view header, const header_limits& limits) {
  std::string_view rest = header;
  const std::string_view request_line = take_line(rest);
  check_size(request_line, limits);
  framing_reader reader{check_request_line(request_line)};
  std::size_t fields = 0;
  while (rest != line_end) {
    const std::string_view line = take_line(rest);
    check_size(line, limits);
    if (++fields > limits.fields)
      throw error{error_kind::payload_too_large, "header",
                  "more than " + std::to_string(limits.fields) + " fields"};
    reader.take(check_field(line));
  }
  return reader.framing();
}

} // namespace sedgechute
