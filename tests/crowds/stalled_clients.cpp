#include "stalled_clients.hpp"

#include <Poco/Net/SocketAddress.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <map>
#include <utility>

namespace sedgechute::stalled_client_test {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr std::size_t large_chunk_bytes = 256 * 1024;
constexpr std::size_t few_chunks_sent = 4;
constexpr std::size_t small_chunk_limit = 128 * 1024; // bytes of a body in chunks of one byte
constexpr std::chrono::milliseconds piece_interval{2};
constexpr std::chrono::milliseconds reopen_interval{20};
constexpr std::chrono::milliseconds refused_interval{100}; // until a refused client comes again
constexpr std::size_t steady_connections = 4; // of each client; the load counts as steady then

std::string chunks(std::size_t chunk_bytes, std::size_t count) {
  std::array<char, 20> size{};
  const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
  const std::string one = std::string(size.data(), static_cast<std::size_t>(digits)) +
                          std::string(chunk_bytes, 'b') + "\r\n";
  std::string all;
  all.reserve(one.size() * count);
  for (std::size_t i = 0; i < count; ++i)
    all += one;
  return all;
}

/// All but the end of the last chunk.
std::shared_ptr<const std::string> chunked(std::size_t chunk_bytes, std::size_t body_bytes) {
  std::string all = chunks(chunk_bytes, body_bytes / chunk_bytes);
  all.pop_back();
  return std::make_shared<const std::string>(std::move(all));
}

std::shared_ptr<const std::string> make_body(upload kind, std::size_t body_bytes) {
  switch (kind) {
  case upload::whole:
  case upload::pieces:
    return std::make_shared<const std::string>(body_bytes - 1, 'b');
  case upload::large_chunks:
    return chunked(large_chunk_bytes, body_bytes);
  case upload::small_chunks:
    return chunked(1, std::min(body_bytes, small_chunk_limit));
  case upload::few_chunks:
    return chunked(1, few_chunks_sent);
  case upload::expecting:
  case upload::header:
    break;
  }
  return std::make_shared<const std::string>();
}

/// Clients of one kind share their bytes.
std::shared_ptr<const std::string> body_of(upload kind, std::size_t body_bytes) {
  static std::map<std::pair<upload, std::size_t>, std::shared_ptr<const std::string>> made;
  std::shared_ptr<const std::string>& body = made[{kind, body_bytes}];
  if (!body)
    body = make_body(kind, body_bytes);
  return body;
}

} // namespace

unfinished_request unfinished(upload kind, const std::string& head_lines, std::size_t body_bytes) {
  const std::string length = "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  const auto body = body_of(kind, body_bytes);
  switch (kind) {
  case upload::whole:
    return {head_lines + length, body};
  case upload::pieces:
    return {head_lines + length, body, piece_bytes};
  case upload::large_chunks:
  case upload::small_chunks:
  case upload::few_chunks:
    return {head_lines + "Transfer-Encoding: chunked\r\n\r\n", body};
  case upload::expecting:
    return {head_lines + "Expect: 100-continue\r\n" + length, body};
  case upload::header:
    break;
  }
  return {head_lines, body};
}

struct stalled_clients::client {
  const unfinished_request* request{};
  int descriptor{-1};
  std::size_t sent{0};
  bool refused{false};           ///< the host has said that it sends nothing more
  steady_clock::time_point next; ///< when to open the connection or to send the next piece

  [[nodiscard]] std::size_t size() const { return request->head.size() + request->body->size(); }

  [[nodiscard]] std::string_view rest() const {
    const std::size_t head = request->head.size();
    std::string_view left = sent < head ? std::string_view{request->head}.substr(sent)
                                        : std::string_view{*request->body}.substr(sent - head);
    return request->piece_bytes > 0 ? left.substr(0, request->piece_bytes) : left;
  }

  void open(const Poco::Net::SocketAddress& address) {
    descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sent = 0;
    refused = false;
    if (::connect(descriptor, address.addr(), address.length()) != 0 && errno != EINPROGRESS)
      close();
  }

  void close() {
    if (descriptor >= 0)
      ::close(descriptor);
    descriptor = -1;
    next = steady_clock::now() + reopen_interval;
  }

  /// \returns bytes that the host has taken
  std::size_t send() {
    const std::string_view bytes = rest();
    const auto got = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (got < 0 && errno != EAGAIN)
      close();
    if (got <= 0)
      return 0;
    sent += static_cast<std::size_t>(got);
    if (request->piece_bytes > 0)
      next = steady_clock::now() + piece_interval;
    if (refused)
      note_refused();
    return static_cast<std::size_t>(got);
  }

  /// Discards what the host sends. A client that was refused goes on sending.
  void receive() {
    std::array<char, 4096> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto got = ::recv(descriptor, block.data(), block.size(), MSG_DONTWAIT);
    if (got < 0 && errno != EAGAIN)
      close();
    else if (got == 0)
      note_refused();
  }

  void note_refused() {
    refused = true;
    if (sent == size())
      next = steady_clock::now() + refused_interval;
  }

  /// \brief Opens the connection where there is none, or another one after a refusal.
  /// \returns whether it has
  bool open_when_due(const Poco::Net::SocketAddress& address, steady_clock::time_point now) {
    if (now < next)
      return false;
    if (refused && sent == size())
      close();
    else if (descriptor < 0) {
      open(address);
      return true;
    }
    return false;
  }

  [[nodiscard]] pollfd polled(steady_clock::time_point now) const {
    const bool sends = sent < size() && now >= next;
    return {descriptor, static_cast<short>((refused ? 0 : POLLIN) | (sends ? POLLOUT : 0)), 0};
  }
};

stalled_clients::stalled_clients(const std::string& address,
                                 std::vector<unfinished_request> clients)
    : address_{address}, requests_{std::move(clients)}, thread_{[this] { run(); }} {}

void stalled_clients::run() {
  const Poco::Net::SocketAddress address{address_};
  std::vector<client> clients(requests_.size());
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i].request = &requests_[i];
  std::vector<pollfd> polled(clients.size());
  constexpr int wait_ms = 5;
  while (!disconnecting_) {
    const auto now = steady_clock::now();
    for (std::size_t i = 0; i < clients.size(); ++i) {
      client& one = clients[i];
      if (one.open_when_due(address, now))
        ++opened_;
      polled[i] = one.polled(now);
    }
    if (::poll(polled.data(), polled.size(), wait_ms) <= 0)
      continue;
    for (std::size_t i = 0; i < clients.size() && !disconnecting_; ++i) {
      if ((polled[i].revents & (POLLERR | POLLHUP)) != 0)
        clients[i].close();
      else if ((polled[i].revents & POLLIN) != 0)
        clients[i].receive();
      if (clients[i].descriptor >= 0 && (polled[i].revents & POLLOUT) != 0)
        sent_ += clients[i].send();
    }
  }
  for (client& one : clients)
    one.close();
}

void stalled_clients::wait_until_steady() const {
  constexpr int step_ms = 100;
  constexpr int quiet_steps = 15;
  constexpr int most_steps = 250;
  std::size_t seen = 0;
  int quiet = 0;
  for (int i = 0; i < most_steps && quiet < quiet_steps; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{step_ms});
    const std::size_t now = sent_;
    quiet = now == seen ? quiet + 1 : 0;
    seen = now;
    if (opened_ >= steady_connections * requests_.size())
      return;
  }
}

void stalled_clients::disconnect() {
  disconnecting_ = true;
  if (thread_.joinable())
    thread_.join();
}

} // namespace sedgechute::stalled_client_test
