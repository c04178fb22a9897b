#include "gateway/impl/caller_session.hpp"

#include "gateway/impl/reread_bytes.hpp"
#include "gateway/impl/tls_socket.hpp"

#include <Poco/Buffer.h>
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <memory>

namespace sedgechute {

namespace {

using Poco::Net::StreamSocket;
using Poco::Net::StreamSocketImpl;

constexpr std::size_t discard_block_bytes = 64 * 1024;

Poco::Timespan to_timespan(time_ms span) {
  return Poco::Timespan{span.count() * Poco::Timespan::MILLISECONDS};
}

class plain_socket final : public StreamSocketImpl, public reread_bytes {
 public:
  explicit plain_socket(poco_socket_t descriptor) : StreamSocketImpl{descriptor} {}

  // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's name
  int receiveBytes(void* buffer, int length, int flags) override {
    if (waiting() && flags == 0)
      return take(buffer, length);
    return StreamSocketImpl::receiveBytes(buffer, length, flags);
  }

  bool poll(const Poco::Timespan& timeout, int mode) override {
    const bool ready = waiting() && (mode & SELECT_READ) != 0;
    return ready || StreamSocketImpl::poll(timeout, mode);
  }
};

} // namespace

StreamSocket make_rereadable(StreamSocket& socket) {
  const int descriptor = ::dup(socket.impl()->sockfd());
  if (descriptor < 0)
    throw Poco::IOException{"dup", errno};
  StreamSocket same{new plain_socket{descriptor}};
  socket.close();
  return same;
}

StreamSocket accept_tls(StreamSocket& socket, const Poco::Net::Context::Ptr& context,
                        time_ms most) {
  auto made = std::make_unique<tls_socket>(socket, context);
  tls_socket& secured = *made;
  StreamSocket same{made.release()};
  secured.shake_hands(to_timespan(most));
  return same;
}

caller_session::caller_session(const StreamSocket& socket, Poco::Net::HTTPServerParams::Ptr params,
                               unfinished_requests& unfinished, const clock& time)
    : HTTPServerSession{socket, std::move(params)},
      unfinished_{unfinished}, time_{time}, progress_{time.now()} {}

// Bytes that were read with those before them no longer show on the connection: the socket is asked
// first. What has come goes before the interruption, so that it gets an answer.
bool caller_session::wait_for_request(time_ms most, int interrupt) {
  if (buffered() > 0 || socket().poll(0, Poco::Net::Socket::SELECT_READ))
    return true;
  const time_ms since = time_.now();
  const time_ms deadline = since + most;
  for (;;) {
    const time_ms now = time_.now();
    if (now >= deadline || unfinished_.evicts(wait_stage::next_request, since))
      return false;
    const time_ms left = std::min(deadline - now, until_next_look(since));
    std::array<pollfd, 2> fds{{{socket().impl()->sockfd(), POLLIN, 0}, {interrupt, POLLIN, 0}}};
    const int ready = ::poll(fds.data(), fds.size(), static_cast<int>(left.count()));
    if (fds[0].revents != 0 || fds[1].revents != 0 || (ready < 0 && errno != EINTR))
      return fds[0].revents != 0;
  }
}

std::string caller_session::read_header(const header_limits& limits, time_ms deadline) {
  progress_ = arrival_progress{time_.now()};
  std::string header;
  std::size_t line_start = 0;
  std::size_t lines = 0;
  for (;;) {
    const int byte = next_byte(deadline);
    if (byte < 0)
      return {};
    header += static_cast<char>(byte);
    const std::size_t line_bytes = header.size() - line_start;
    if (line_bytes > limits.line_bytes + 2)
      throw error{error_kind::payload_too_large, "header",
                  "a line of more than " + std::to_string(limits.line_bytes) + " bytes"};
    if (byte != '\n')
      continue;
    if (line_bytes == 1 || (line_bytes == 2 && header[line_start] == '\r'))
      break;
    if (++lines > limits.fields + 1)
      throw error{error_kind::payload_too_large, "header",
                  "more than " + std::to_string(limits.fields) + " fields"};
    line_start = header.size();
  }
  Poco::Buffer<char> behind{0};
  drainBuffer(behind);
  auto& again = dynamic_cast<reread_bytes&>(*socket().impl());
  again.read_again(header + std::string{behind.begin(), behind.size()});
  return header;
}

int caller_session::next_byte(time_ms deadline) {
  if (buffered() == 0)
    wait(deadline);
  progress_.note(1, time_.now());
  return get();
}

std::size_t caller_session::read_some(char* into, std::size_t most, time_ms deadline) {
  if (buffered() == 0)
    wait(deadline);
  const auto got =
      static_cast<std::size_t>(std::max(read(into, static_cast<std::streamsize>(most)), 0));
  progress_.note(got, time_.now());
  return got;
}

time_ms caller_session::until_next_look(time_ms silent_since) const noexcept {
  constexpr time_ms interval{200};
  return std::max(silent_since + unfinished_.stall() - time_.now(), interval);
}

// The host may have read nothing for a while; what has come meanwhile is progress.
void caller_session::wait(time_ms deadline) {
  for (;;) {
    const time_ms now = time_.now();
    const time_ms silent_since = progress_.last();
    if (now >= deadline)
      throw error{error_kind::slow_caller, "", ""};
    if (socket().poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ))
      return;
    if (unfinished_.evicts(wait_stage::rest_of_request, silent_since))
      throw error{error_kind::slow_caller, "",
                  "others need the memory or the connection of this request"};
    const time_ms left = std::min(deadline - now, until_next_look(silent_since));
    if (socket().poll(to_timespan(left), Poco::Net::Socket::SELECT_READ))
      return;
  }
}

void caller_session::close_gently(time_ms most) noexcept {
  try {
    socket().shutdownSend();
    const time_ms deadline = time_.now() + most;
    std::vector<char> discarded(discard_block_bytes);
    while (read_some(discarded.data(), discarded.size(), deadline) > 0) {
    }
  } catch (const std::exception&) {
    return; // the caller went or goes on for too long: the close does the rest
  }
}

} // namespace sedgechute
