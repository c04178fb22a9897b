#include "raw_caller.hpp"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <array>
#include <atomic>
#include <chrono>
#include <thread>

namespace sedgechute::testing {

namespace {
constexpr int patience_seconds = 10;
constexpr std::size_t block_bytes = 4096;
} // namespace

std::string raw_answer::field(const std::string& name) const {
  const std::string lower = Poco::toLower(header);
  const std::size_t at = lower.find("\r\n" + Poco::toLower(name) + ": ");
  if (at == std::string::npos)
    return {};
  const std::size_t begin = at + name.size() + 4;
  return header.substr(begin, header.find("\r\n", begin) - begin);
}

raw_caller::raw_caller(const Poco::Net::SocketAddress& host, int receive_buffer) {
  socket_ = Poco::Net::StreamSocket{Poco::Net::SocketAddress::IPv4};
  if (receive_buffer > 0)
    socket_.setReceiveBufferSize(receive_buffer);
  socket_.connect(host);
  socket_.setReceiveTimeout(Poco::Timespan{patience_seconds, 0});
  socket_.setNoDelay(true);
}

bool raw_caller::send(const std::string& bytes) {
  try {
    std::size_t sent = 0;
    while (sent < bytes.size())
      sent += static_cast<std::size_t>(
          socket_.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool raw_caller::fill() {
  std::array<char, block_bytes> block{};
  try {
    const int got = socket_.receiveBytes(block.data(), static_cast<int>(block.size()));
    if (got <= 0)
      return false;
    buffer_.append(block.data(), static_cast<std::size_t>(got));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

std::string raw_caller::take(std::size_t count) {
  while (buffer_.size() < count && fill()) {
  }
  std::string taken = buffer_.substr(0, count);
  buffer_.erase(0, taken.size());
  return taken;
}

std::string raw_caller::receive_until(const std::string& mark) {
  while (buffer_.find(mark) == std::string::npos && fill()) {
  }
  const std::size_t at = buffer_.find(mark);
  return take(at == std::string::npos ? buffer_.size() : at + mark.size());
}

std::string raw_caller::receive_chunks() {
  std::string whole;
  for (;;) {
    const std::string size_line = receive_until("\r\n");
    const std::size_t size = size_line.empty() ? 0 : std::stoul(size_line, nullptr, 16);
    whole += take(size);
    (void)take(2);
    if (size == 0)
      return whole;
  }
}

raw_answer raw_caller::receive(bool head_only) {
  raw_answer answer;
  answer.header = receive_until("\r\n\r\n");
  if (!answer.header.ends_with("\r\n\r\n"))
    return answer;
  answer.status = std::stoi(answer.header.substr(answer.header.find(' ')));
  const bool no_body = head_only || answer.status < 200 || answer.status == 204;
  if (no_body)
    return answer;
  if (answer.field("Transfer-Encoding") == "chunked")
    answer.body = receive_chunks();
  else if (const std::string length = answer.field("Content-Length"); !length.empty())
    answer.body = take(std::stoul(length));
  else
    while (fill() || !buffer_.empty())
      answer.body += take(buffer_.size());
  return answer;
}

bool raw_caller::closed_by_host() {
  return !fill() && buffer_.empty();
}

void raw_caller::leave() {
  socket_.close();
}

std::string chat_body(bool stream, const std::string& more) {
  return std::string{R"({"model":"m","messages":[{"role":"user","content":"hello"}],"stream":)"} +
         (stream ? "true" : "false") + more + "}";
}

std::string chat_request_text(const std::string& body, const std::string& headers,
                              const std::string& key) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool eventually(const std::function<bool()>& reached) {
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{patience_seconds};
  while (!reached()) {
    if (std::chrono::steady_clock::now() > give_up)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  return true;
}

void stop_server(const Poco::Net::SocketAddress& address, const std::function<void()>& stop) {
  std::atomic<bool> stopped{false};
  std::thread stopping{[&] {
    stop();
    stopped = true;
  }};
  while (!stopped) {
    try {
      const Poco::Net::StreamSocket knock{address};
    } catch (const Poco::Exception&) {
      // it listens no more, which is what this is about
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{1});
  }
  stopping.join();
}

} // namespace sedgechute::testing
