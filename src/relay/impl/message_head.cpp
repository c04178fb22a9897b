#include "relay/impl/message_head.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace sedgechute {

namespace {

constexpr std::array hop_by_hop{"connection", "keep-alive",        "proxy-connection", "te",
                                "trailer",    "transfer-encoding", "upgrade",          "expect"};

constexpr int min_status = 100;
constexpr int max_status = 599;

char lower(char c) noexcept {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text) noexcept {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/// Removes the next line from `rest` and returns it without its LF or CRLF.
std::string_view take_line(std::string_view& rest) noexcept {
  const std::size_t end = std::min(rest.find('\n'), rest.size());
  std::string_view line = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

/// \returns false when a line is not a header field
bool parse_fields(std::string_view rest, header_fields& into) {
  while (!rest.empty()) {
    const std::string_view line = take_line(rest);
    if (line.empty())
      return true;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
      return false;
    into.add(std::string{line.substr(0, colon)}, std::string{trim(line.substr(colon + 1))});
  }
  return true;
}

void append_fields(std::string& text, const header_fields& fields) {
  for (const header_field& field : fields.all())
    text.append(field.name).append(": ").append(field.value).append("\r\n");
  text += "\r\n";
}

} // namespace

bool equal_without_case(std::string_view a, std::string_view b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::optional<std::uint64_t> parse_number(std::string_view text) noexcept {
  std::uint64_t number = 0;
  const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc{} || end != text.data() + text.size())
    return std::nullopt;
  return number;
}

const std::string* header_fields::find(std::string_view name) const noexcept {
  for (const header_field& field : fields_)
    if (equal_without_case(field.name, name))
      return &field.value;
  return nullptr;
}

std::size_t header_fields::count(std::string_view name) const noexcept {
  return static_cast<std::size_t>(
      std::count_if(fields_.begin(), fields_.end(), [&](const header_field& field) {
        return equal_without_case(field.name, name);
      }));
}

std::optional<std::uint64_t> header_fields::number(std::string_view name) const noexcept {
  const std::string* value = find(name);
  return value == nullptr ? std::nullopt : parse_number(*value);
}

void header_fields::add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void header_fields::set(std::string_view name, std::string value) {
  remove(name);
  add(std::string{name}, std::move(value));
}

void header_fields::remove(std::string_view name) {
  std::erase_if(fields_, [&](const header_field& f) { return equal_without_case(f.name, name); });
}

void header_fields::remove_hop_by_hop() {
  std::vector<std::string> named;
  if (const std::string* listed = find("Connection")) {
    std::string_view rest = *listed;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      named.emplace_back(trim(rest.substr(0, end)));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  for (const char* name : hop_by_hop)
    remove(name);
  for (const std::string& name : named)
    if (!name.empty() && !equal_without_case(name, "close") &&
        !equal_without_case(name, "keep-alive"))
      remove(name);
}

std::string_view request_head::path() const noexcept {
  return std::string_view{target}.substr(0, target.find('?'));
}

request_head parse_request_head(std::string_view text) {
  request_head head;
  const std::string_view line = take_line(text);
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  head.method = line.substr(0, first);
  head.target = line.substr(first + 1, last - first - 1);
  (void)parse_fields(text, head.fields); // `check_request_header` has checked each line
  return head;
}

std::optional<response_head> parse_response_head(std::string_view text) {
  response_head head;
  const std::string_view line = take_line(text);
  constexpr std::string_view protocol = "HTTP/1.";
  constexpr std::size_t status_at = protocol.size() + 2;
  constexpr std::size_t status_end = status_at + 3;
  if (!line.starts_with(protocol) || line.size() < status_end || line[status_at - 1] != ' ' ||
      (line.size() > status_end && line[status_end] != ' '))
    return std::nullopt;
  const char minor_version = line[protocol.size()];
  if (minor_version < '0' || minor_version > '9')
    return std::nullopt;
  head.old_version = minor_version == '0';
  const auto status = parse_number(line.substr(status_at, status_end - status_at));
  if (!status || *status < min_status || *status > max_status)
    return std::nullopt;
  head.status = static_cast<int>(*status);
  head.reason = line.size() > status_end ? line.substr(status_end + 1) : "";
  if (!parse_fields(text, head.fields))
    return std::nullopt;
  return head;
}

std::string to_text(const request_head& head) {
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  append_fields(text, head.fields);
  return text;
}

std::string to_text(const response_head& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
  append_fields(text, head.fields);
  return text;
}

} // namespace sedgechute
