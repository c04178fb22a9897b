#include "relay/impl/request_preview.hpp"

#include "gateway/impl/request_header.hpp"
#include "kernel/kernel.hpp"

namespace sedgechute {

namespace {

constexpr std::string_view end_mark = "\r\n\r\n";

} // namespace

request_preview preview_request(std::string_view bytes, std::size_t max_header,
                                std::size_t max_body, std::size_t max_waited) {
  request_preview seen;
  const std::size_t end = bytes.find(end_mark);
  if (end == std::string_view::npos) {
    seen.state = bytes.size() > max_header ? preview_state::other : preview_state::arriving;
    return seen;
  }
  const std::string_view header = bytes.substr(0, end + end_mark.size());
  seen.state = preview_state::other;
  if (header.size() > max_header)
    return seen;
  try {
    const message_framing framing = check_request_header(header, {max_header_fields, max_header});
    if (framing.body == body_framing::chunked || framing.bytes > max_body)
      return seen;
    seen.head = parse_request_head(header);
    if (seen.head.fields.has("Expect"))
      return seen;
    seen.body_bytes = static_cast<std::size_t>(framing.bytes);
    seen.bytes = header.size() + seen.body_bytes;
    const preview_state incomplete =
        framing.bytes > max_waited ? preview_state::large : preview_state::arriving;
    seen.state = bytes.size() < seen.bytes ? incomplete : preview_state::whole;
  } catch (const error&) {
    seen.state = preview_state::other; // the thread that reads the request refuses it
  }
  return seen;
}

} // namespace sedgechute
