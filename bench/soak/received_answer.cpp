#include "received_answer.hpp"

#include "relay/relay.hpp"

#include <algorithm>
#include <charconv>

namespace sedgechute::soak {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view header_end = "\r\n\r\n";

/// Takes chunks until the last one, or until there are no more bytes.
void read_chunks(std::string_view rest, received_answer& into, std::size_t header_bytes) {
  const std::size_t all = rest.size();
  for (;;) {
    const std::size_t line = rest.find(line_end);
    std::size_t size = 0;
    if (line == std::string_view::npos ||
        std::from_chars(rest.data(), rest.data() + line, size, 16).ptr != rest.data() + line)
      return;
    rest.remove_prefix(line + line_end.size());
    into.body += rest.substr(0, size);
    if (rest.size() < size + line_end.size())
      return;
    rest.remove_prefix(size + line_end.size());
    if (size > 0)
      continue;
    into.whole = true;
    into.length = header_bytes + all - rest.size();
    return;
  }
}

} // namespace

std::optional<received_answer> read_answer(std::string_view bytes) {
  const std::size_t end = bytes.find(header_end);
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::size_t header_bytes = end + header_end.size();
  const auto head = parse_response_head(bytes.substr(0, header_bytes));
  if (!head)
    return std::nullopt;
  received_answer answer;
  answer.status = head->status;
  if (const std::string* mark = head->fields.find("Response-Signature"))
    answer.mark = *mark;
  const std::string* after = head->fields.find("Connection");
  answer.closes = after != nullptr && equal_without_case(*after, "close");
  if (head->fields.has("Transfer-Encoding")) {
    read_chunks(bytes.substr(header_bytes), answer, header_bytes);
    return answer;
  }
  const std::size_t length = head->fields.number("Content-Length").value_or(0);
  answer.body = bytes.substr(header_bytes, length);
  answer.whole = answer.body.size() == length;
  answer.length = header_bytes + length;
  return answer;
}

namespace {

constexpr std::string_view event_end = "\n\n";

std::string event_begin(const std::string& attempt, int id) {
  return "id: " + std::to_string(id) + "\ndata: " + attempt;
}

bool is_build(std::string_view text) {
  const auto plain = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
  return text.empty() || (text.front() == ' ' && std::all_of(text.begin() + 1, text.end(), plain));
}

/// \returns whether the bytes are the beginning of an event, but not all of it
bool begins_event(std::string_view bytes, const std::string& begin) {
  if (bytes.size() <= begin.size())
    return std::string_view{begin}.starts_with(bytes);
  if (!bytes.starts_with(begin))
    return false;
  bytes.remove_prefix(begin.size());
  if (bytes.ends_with('\n'))
    bytes.remove_suffix(1);
  return is_build(bytes);
}

} // namespace

std::string event_text(const std::string& attempt, int id, const std::string& build) {
  return event_begin(attempt, id) + (build.empty() ? "" : " " + build) + std::string{event_end};
}

received_events read_events(std::string_view body, const std::string& attempt, int first) {
  received_events events;
  for (;;) {
    const std::string begin = event_begin(attempt, first + events.count);
    events.in_order = begins_event(body, begin);
    const std::size_t end = body.find(event_end);
    if (events.in_order || !body.starts_with(begin) || end == std::string_view::npos)
      break;
    const std::string_view build = body.substr(begin.size(), end - begin.size());
    if (!is_build(build))
      break;
    if (!build.empty())
      events.builds.emplace(build.substr(1));
    ++events.count;
    body.remove_prefix(end + event_end.size());
  }
  events.cut = !body.empty();
  return events;
}

} // namespace sedgechute::soak
