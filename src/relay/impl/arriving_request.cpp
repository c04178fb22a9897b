#include "relay/impl/arriving_request.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

constexpr std::string_view end_mark = "\r\n\r\n";

[[noreturn]] void refuse_size(const char* part) {
  throw error{error_kind::payload_too_large, part, "is larger than allowed"};
}

/// \returns whether so many bytes may be held
bool hold(arriving_request& request, std::size_t bytes, const arrival_terms& terms) {
  while (!request.held.resize(bytes))
    if (!terms.evict || !terms.evict())
      return false;
  return true;
}

arrival_state take_header(arriving_request& request, connection& link, const arrival_terms& terms) {
  const std::string_view bytes = link.buffered();
  const std::size_t most = terms.limits.header_bytes;
  const std::size_t end = bytes.find(end_mark);
  const std::size_t size = end == std::string_view::npos ? bytes.size() : end + end_mark.size();
  if (size > most)
    refuse_size("header");
  if (end == std::string_view::npos)
    return hold(request, bytes.size(), terms) ? arrival_state::arriving : arrival_state::no_room;
  const std::string_view header = bytes.substr(0, size);
  request.framing = check_request_header(header, {terms.max_fields, most});
  request.head = parse_request_head(header);
  link.consume(size);
  if (request.framing.body == body_framing::stated &&
      request.framing.bytes > terms.limits.body_bytes)
    refuse_size("body");
  return arrival_state::header_arrived;
}

arrival_state take_stated(arriving_request& request, connection& link) {
  const auto size = static_cast<std::size_t>(request.framing.bytes);
  const std::string_view bytes =
      link.buffered().substr(0, size - std::min(size, request.body.size()));
  request.body.append(bytes);
  link.consume(bytes.size());
  return request.body.size() == size ? arrival_state::whole : arrival_state::arriving;
}

// The buffer grows before the bytes are decoded. While it does, there are two of them.
bool make_capacity(arriving_request& request, std::size_t needed, const arrival_terms& terms) {
  const std::size_t held = request.body.capacity();
  if (needed <= held)
    return hold(request, held, terms);
  const std::size_t grown = grown_capacity(held, needed, terms.limits.body_bytes);
  if (!hold(request, held + grown, terms))
    return false;
  request.body.reserve(grown);
  return request.held.resize(request.body.capacity());
}

arrival_state take_chunked(arriving_request& request, connection& link,
                           const arrival_terms& terms) {
  const std::string_view bytes = link.buffered();
  const std::size_t most = std::min(request.body.size() + bytes.size(), terms.limits.body_bytes);
  if (!make_capacity(request, most, terms))
    return arrival_state::no_room;
  link.consume(request.chunks->decode(bytes, request.body));
  switch (request.chunks->state()) {
  case chunk_state::arriving:
    return arrival_state::arriving;
  case chunk_state::whole:
    return arrival_state::whole;
  case chunk_state::too_large:
    refuse_size("body");
  case chunk_state::excessive_framing:
    refuse_size("framing");
  case chunk_state::malformed:
    break;
  }
  throw error{error_kind::malformed_request, "body", "its chunks are not valid"};
}

/// Prepares for the body. It counts with its stated size before any of it is taken.
arrival_state begin_body(arriving_request& request, const arrival_terms& terms) {
  switch (request.framing.body) {
  case body_framing::chunked:
    request.chunks.emplace(chunk_bounds{.body_bytes = terms.limits.body_bytes,
                                        .framing_per_byte = terms.framing_per_byte});
    return hold(request, 0, terms) ? arrival_state::arriving : arrival_state::no_room;
  case body_framing::stated:
    if (!hold(request, static_cast<std::size_t>(request.framing.bytes), terms))
      return arrival_state::no_room;
    request.body.reserve(static_cast<std::size_t>(request.framing.bytes));
    return arrival_state::arriving;
  case body_framing::none:
  case body_framing::until_close:
    break;
  }
  return hold(request, 0, terms) ? arrival_state::whole : arrival_state::no_room;
}

} // namespace

arrival_state take_arrived(arriving_request& request, connection& link,
                           const arrival_terms& terms) {
  const std::size_t before = link.buffered().size();
  const time_ms now = link.time().now();
  if (!request.head) {
    request.progress.note(before - request.header_bytes, now);
    request.header_bytes = before;
    const arrival_state state = take_header(request, link, terms);
    if (state != arrival_state::header_arrived)
      return state;
    request.deadline = now + terms.body_timeout;
    const arrival_state begun = begin_body(request, terms);
    return begun == arrival_state::arriving ? arrival_state::header_arrived : begun;
  }
  const arrival_state state =
      request.chunks ? take_chunked(request, link, terms) : take_stated(request, link);
  request.progress.note(before - link.buffered().size(), now);
  return state;
}

std::size_t unread_bytes(const arriving_request& request, const caller_limits& limits) noexcept {
  const std::size_t size = request.framing.body == body_framing::stated
                               ? static_cast<std::size_t>(request.framing.bytes)
                               : limits.body_bytes;
  return size - std::min(size, request.body.size());
}

} // namespace sedgechute
