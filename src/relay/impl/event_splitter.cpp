#include "relay/impl/event_splitter.hpp"

#include "relay/impl/message_head.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

/// \param at  begin of a line; set to that of the first one which is not complete
/// \returns the end of the first empty line; 0 if there is none
std::size_t event_end(std::string_view text, std::size_t& at) noexcept {
  while (at < text.size()) {
    const std::size_t end = text.find('\n', at);
    if (end == std::string_view::npos)
      return 0;
    const bool empty = end == at || (end == at + 1 && text[at] == '\r');
    at = end + 1;
    if (empty)
      return at;
  }
  return 0;
}

} // namespace

// Lines that were searched before are not searched again.
std::string event_splitter::take_whole() {
  std::size_t whole = 0;
  std::size_t at = searched_;
  while (const std::size_t end = event_end(pending_, at)) {
    note_event(std::string_view{pending_}.substr(whole, end - whole));
    whole = end;
  }
  std::string taken = pending_.substr(0, whole);
  pending_.erase(0, whole);
  searched_ = at - whole;
  return taken;
}

void event_splitter::note_event(std::string_view event) {
  bool any = false;
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size() - 1);
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    any = any || (!line.empty() && line.front() != ':');
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    if (line.starts_with(' '))
      line.remove_prefix(1);
    if (const auto id = parse_number(line))
      last_id_ = id;
  }
  if (any)
    ++events_;
}

} // namespace sedgechute
