#include "gateway/impl/event_reader.hpp"

#include <charconv>
#include <exception>
#include <string_view>

namespace sedgechute {

namespace {

constexpr std::size_t longest_line = 1U << 20U;

std::string_view after_field(std::string_view line, std::string_view field) {
  line.remove_prefix(field.size());
  if (!line.empty() && line.front() == ' ')
    line.remove_prefix(1);
  return line;
}

void take_line(std::string_view line, stream_event& event) {
  if (line.starts_with("data:"))
    event.data += after_field(line, "data:");
  else if (line.starts_with("id:")) {
    const std::string_view number = after_field(line, "id:");
    std::from_chars(number.data(), number.data() + number.size(), event.position);
  }
}

} // namespace

// An engine that never ends its line must not fill the host's memory, so the length is checked
// while the line is read. A last line without its newline may miss its end: it is no line.
bool event_reader::read_line() try {
  line_.clear();
  std::streambuf& source = *in_.rdbuf();
  for (int c = source.sbumpc(); c != std::char_traits<char>::eof(); c = source.sbumpc()) {
    if (c == '\n')
      return true;
    if (line_.size() == longest_line)
      return false;
    line_ += static_cast<char>(c);
  }
  return false;
} catch (const std::exception&) {
  return false; // the connection fell silent or failed; a stream would have kept that to itself
}

std::optional<stream_event> event_reader::next_or_comment() {
  stream_event event;
  while (read_line()) {
    if (!line_.empty() && line_.back() == '\r')
      line_.pop_back();
    const bool comment = !line_.empty() && line_.front() == ':';
    if (comment && event.data.empty() && event.position == 0)
      return event;
    if (!line_.empty())
      take_line(line_, event);
    else if (!event.data.empty())
      return event;
    if (event.data.size() > longest_line)
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<stream_event> event_reader::next() {
  std::optional<stream_event> event = next_or_comment();
  while (event && event->data.empty())
    event = next_or_comment();
  return event;
}

} // namespace sedgechute
