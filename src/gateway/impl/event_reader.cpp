#include "gateway/impl/event_reader.hpp"

#include <charconv>
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

std::optional<stream_event> event_reader::next() {
  stream_event event;
  while (std::getline(in_, line_)) {
    // A last line without its newline is a cut one: getline returns it, but it may miss its end.
    if (in_.eof() || line_.size() > longest_line)
      return std::nullopt;
    if (!line_.empty() && line_.back() == '\r')
      line_.pop_back();
    if (!line_.empty())
      take_line(line_, event);
    else if (!event.data.empty())
      return event;
  }
  return std::nullopt;
}

} // namespace sedgechute
