#include "gateway/impl/chat_sinks.hpp"

#include "gateway/impl/kept_chat.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <poll.h>

namespace sedgechute {

// Bytes of a next request may wait in front of the connection's end; POLLRDHUP tells of the end
// without them being read.
bool has_hung_up(const caller_exchange& exchange) noexcept {
  pollfd connection{};
  connection.fd = exchange.request.socket().impl()->sockfd();
  connection.events = POLLRDHUP;
  return ::poll(&connection, 1, 0) > 0;
}

void use_open_length(caller_exchange& exchange) {
  if (exchange.request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1)
    return exchange.response.setChunkedTransferEncoding(true);
  exchange.response.setKeepAlive(false);
}

void streaming_sink::begin() {
  auto& response = exchange_.response;
  response.setContentType("text/event-stream");
  use_open_length(exchange_);
  response.set("Cache-Control", "no-cache");
  response.set("X-Request-Id", id_.str());
  response.set("X-Sedgechute-Host", host_.str());
  out_ = &response.send();
}

bool streaming_sink::write(const std::string& text) {
  if (lost_)
    return false;
  try {
    out_->write(text.data(), static_cast<std::streamsize>(text.size()));
    out_->flush();
    lost_ = !out_->good();
  } catch (const Poco::Exception&) {
    lost_ = true;
  }
  if (lost_)
    exchange_.response.setKeepAlive(false);
  return !lost_;
}

bool streaming_sink::event(const stream_event& event) {
  if (out_ == nullptr)
    begin();
  std::string text;
  text.reserve(event.data.size() + 32);
  if (event.position != 0) {
    text += "id: ";
    text += std::to_string(event.position);
    text += '\n';
  }
  text += "data: ";
  text += event.data;
  text += "\n\n";
  return write(text);
}

void streaming_sink::complete(const answer_summary& summary) {
  if (out_ == nullptr)
    begin();
  const std::string chunk = R"({"id":)" + json_quote(summary.id.str()) +
                            R"(,"object":"chat.completion.chunk","choices":[],"usage":)" +
                            usage_json(summary.usage) + R"(,"sedgechute":)" + to_json(summary) +
                            "}";
  (void)write("data: " + chunk + "\n\ndata: [DONE]\n\n");
}

// A stream that just ended would look like a short but whole answer to a caller that does not
// check for the finish marker, so a failure is always told by an event of its own.
void streaming_sink::fail(const refusal& refused) {
  if (out_ == nullptr)
    return send_refusal(exchange_.response, refused);
  exchange_.response.setKeepAlive(false);
  (void)write("event: error\ndata: " + to_json(refused) + "\n\n");
}

bool streaming_sink::gone() noexcept {
  return lost_ || has_hung_up(exchange_);
}

bool collecting_sink::event(const stream_event& event) {
  if (const auto chunk = parse_engine_chunk(event.data))
    content_ += chunk->content;
  return true;
}

void collecting_sink::complete(const answer_summary& summary) {
  auto& response = exchange_.response;
  response.setContentType("application/json");
  response.set("X-Request-Id", summary.id.str());
  response.set("X-Sedgechute-Host", summary.host.str());
  response.set("X-Sedgechute-Attempts", std::to_string(summary.attempts));
  response.set("X-Sedgechute-Tokens-Billed", std::to_string(summary.tokens_billed));
  response.set("X-Sedgechute-Tokens-Remaining", std::to_string(summary.tokens_remaining));
  const std::string body = answer_json(summary, model_, content_);
  response.sendBuffer(body.data(), body.size());
}

void collecting_sink::fail(const refusal& refused) {
  send_refusal(exchange_.response, refused);
}

bool collecting_sink::gone() noexcept {
  return has_hung_up(exchange_);
}

} // namespace sedgechute
