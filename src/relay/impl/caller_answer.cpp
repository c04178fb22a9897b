#include "relay/impl/caller_answer.hpp"

#include <array>
#include <cstdio>

namespace sedgechute {

namespace {

constexpr time_ms max_caller_write{10000}; // a caller that reads nothing for longer has failed

std::string chunk_of(std::string_view bytes) {
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk{size.data(), static_cast<std::size_t>(length)};
  chunk.append(bytes).append("\r\n");
  return chunk;
}

} // namespace

caller_answer::caller_answer(connection& caller, const planned_stop& stop)
    : caller_{caller}, stop_{stop}, stop_watch_{-1, stop.cut_descriptor()} {}

void caller_answer::take_head(const response_head& head) {
  if (!stream_begun_)
    head_ = head;
}

void caller_answer::note_ready() {
  if (!first_ready_)
    first_ready_ = caller_.time().now();
}

response_head caller_answer::answer_head() {
  response_head head = head_;
  head.fields.remove_hop_by_hop();
  head.fields.remove("Content-Length");
  announced_close_ = stop_.begun();
  if (announced_close_)
    head.fields.set("Connection", "close");
  return head;
}

bool caller_answer::write(std::string_view bytes, std::string_view more) {
  const time_ms until = caller_.time().now() + max_caller_write;
  const io_status status = caller_.write_all(bytes, more, until, &stop_watch_);
  cut_ = status == io_status::interrupted;
  caller_failed_ = status != io_status::ok;
  return !caller_failed_;
}

bool caller_answer::deliver(const std::string& body) {
  response_head head = answer_head();
  head.fields.set("Content-Length", std::to_string(body.size()));
  return write(to_text(head), body);
}

bool caller_answer::begin_stream() {
  response_head head = answer_head();
  head.fields.set("Transfer-Encoding", "chunked");
  stream_begun_ = true;
  return write(to_text(head));
}

bool caller_answer::forward_events(const event_groups& events) {
  if (events.empty())
    return true;
  note_ready();
  if (!stream_begun_ && !begin_stream())
    return false;
  std::string chunks;
  for (const std::string& group : events)
    chunks += chunk_of(group);
  return write(chunks);
}

bool caller_answer::end_stream() {
  if (!stream_begun_ && !begin_stream())
    return false;
  return write("0\r\n\r\n");
}

} // namespace sedgechute
