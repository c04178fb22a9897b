#include "relay/impl/start_time_query.hpp"

#include "relay/impl/connection.hpp"
#include "relay/impl/message_head.hpp"
#include "relay/impl/wire_dialect.hpp"

namespace sedgechute {

namespace {

constexpr std::size_t max_head_bytes = 8192;
constexpr std::size_t max_body_bytes = 65536; // the body lists each running request
constexpr int ok = 200;

/// \returns false when the body is too large or incomplete at the deadline
bool read_body(connection& link, const header_fields& fields, time_ms deadline) {
  const auto length = fields.number("Content-Length");
  const std::size_t wanted = length.value_or(max_body_bytes);
  if (wanted > max_body_bytes)
    return false;
  while (link.buffered().size() < wanted) {
    const io_status status = link.fill(deadline);
    if (status == io_status::ended && !length)
      return true;
    if (status != io_status::ok)
      return false;
  }
  return true;
}

} // namespace

std::optional<time_ms> query_start_time(connection& link, const endpoint_id& endpoint,
                                        const wire_dialect& dialect, time_ms deadline) {
  std::string text = to_text(dialect.status_request(endpoint.str()));
  if (link.write_all(text, deadline) != io_status::ok)
    return std::nullopt;
  if (link.read_head(text, max_head_bytes, deadline) != io_status::ok)
    return std::nullopt;
  const auto head = parse_response_head(text);
  if (!head || head->status != ok || !read_body(link, head->fields, deadline))
    return std::nullopt;
  return dialect.parse_start_time(link.buffered());
}

} // namespace sedgechute
