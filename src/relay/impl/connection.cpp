#include "relay/impl/connection.hpp"

#include <Poco/Exception.h>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace sedgechute {

namespace {

constexpr std::size_t read_block_bytes = 16 * 1024;
constexpr std::size_t compact_threshold = 64 * 1024; // consumed bytes that compact the buffer

// A machine that lost power or is cut off does not reply. The kernel gives up on unacknowledged
// bytes after `unacknowledged_ms`, and on an idle connection after the keepalive probes. Both times
// exceed the longest retransmission seen on links that lose a few packets in a hundred.
constexpr int unacknowledged_ms = 2000;
constexpr int idle_before_probe_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probes = 2;

} // namespace

namespace {

/// \returns whether the unread bytes begin with a status line that is not a success
bool begins_with_failure(int descriptor) noexcept {
  constexpr std::string_view before_status = "HTTP/1.1 ";
  std::array<char, before_status.size() + 1> begin{};
  const auto got = ::recv(descriptor, begin.data(), begin.size(), MSG_PEEK | MSG_DONTWAIT);
  return got == static_cast<ssize_t>(begin.size()) && begin.back() != '2';
}

} // namespace

short caller_watch::events() const noexcept {
  return sent_ahead_ ? POLLRDHUP : POLLIN | POLLRDHUP;
}

bool caller_watch::left(short seen) noexcept {
  if ((seen & (POLLHUP | POLLERR | POLLRDHUP)) != 0)
    return true;
  if ((seen & POLLIN) == 0)
    return false;
  char byte = 0;
  const auto got = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0)
    sent_ahead_ = true;
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

bool caller_watch::has_left() noexcept {
  pollfd fd{descriptor_, events(), 0};
  return ::poll(&fd, 1, 0) > 0 && left(fd.revents);
}

io_status caller_watch::look() noexcept {
  std::array<pollfd, 2> fds{pollfd{descriptor_, events(), 0}, pollfd{interrupt_, POLLIN, 0}};
  if (::poll(fds.data(), fds.size(), 0) <= 0)
    return io_status::ok;
  if (fds[0].revents != 0 && left(fds[0].revents))
    return io_status::caller_left;
  return fds[1].revents != 0 ? io_status::interrupted : io_status::ok;
}

bool caller_watch::goes_on(std::size_t alternative) noexcept {
  int& descriptor = alternatives_[alternative].descriptor;
  int bytes = 0; // asked for without a read, which would consume the error of a reset connection
  const bool readable = ::ioctl(descriptor, FIONREAD, &bytes) == 0 && bytes > 0;
  if (readable && !(alternatives_[alternative].awaits_head && begins_with_failure(descriptor)))
    return true;
  descriptor = -1;
  return false;
}

connection::connection(const Poco::Net::StreamSocket& socket, const clock& time)
    : socket_{socket}, descriptor_{socket.impl()->sockfd()}, time_{time} {}

connection::~connection() {
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    return; // the peer has closed the connection; there is nothing left to free
  }
}

std::string_view connection::buffered() const noexcept {
  return std::string_view{buffer_}.substr(consumed_);
}

void connection::consume(std::size_t count) noexcept {
  consumed_ += count;
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  } else if (consumed_ > compact_threshold) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
}

io_status connection::wait(short events, time_ms deadline, caller_watch* watch) {
  constexpr std::size_t own = 3;
  std::vector<pollfd> fds(own + (watch != nullptr ? watch->alternatives().size() : 0));
  for (;;) {
    const time_ms left = std::max(deadline - time_.now(), time_ms{0});
    fds[0] = {descriptor_, events, 0};
    fds[1] = fds[2] = {-1, 0, 0};
    if (watch != nullptr) {
      fds[1] = {watch->descriptor(), watch->events(), 0};
      fds[2] = {watch->interrupt(), POLLIN, 0};
      std::ranges::transform(watch->alternatives(), fds.begin() + own,
                             [](const caller_watch::alternative& one) {
                               return pollfd{one.descriptor, POLLIN, 0};
                             });
    }
    const int ready = ::poll(fds.data(), fds.size(), static_cast<int>(left.count()));
    if (ready < 0 && errno != EINTR)
      return io_status::reset;
    if (ready == 0 && time_.now() >= deadline)
      return io_status::timed_out;
    if (ready <= 0)
      continue;
    if (watch != nullptr && fds[1].revents != 0 && watch->left(fds[1].revents))
      return io_status::caller_left;
    if (fds[2].revents != 0)
      return io_status::interrupted;
    for (std::size_t i = own; i < fds.size(); ++i)
      if (fds[i].revents != 0 && watch->goes_on(i - own))
        return io_status::superseded;
    if (fds[0].revents != 0)
      return io_status::ok;
  }
}

io_status connection::wait_open(time_ms deadline, caller_watch* watch) {
  if (const io_status waited = wait(POLLOUT, deadline, watch); waited != io_status::ok)
    return waited;
  switch (socket_.impl()->socketError()) {
  case 0:
    return io_status::ok;
  case ETIMEDOUT:
    return io_status::timed_out;
  default:
    return io_status::reset;
  }
}

// A read that did not fill its block has emptied the socket, so the next one begins with a poll:
// for a stream that brings one event at a time that saves a call per event.
io_status connection::fill(time_ms deadline, caller_watch* watch) {
  std::array<char, read_block_bytes> block; // NOLINT(cppcoreguidelines-pro-type-member-init)
  watch_polled_ = false;
  for (;;) {
    if (std::exchange(drained_, false)) {
      if (const io_status waited = wait(POLLIN, deadline, watch); waited != io_status::ok)
        return waited;
      watch_polled_ = watch != nullptr;
    }
    const auto got = ::recv(descriptor_, block.data(), block.size(), MSG_DONTWAIT);
    if (got > 0) {
      buffer_.append(block.data(), static_cast<std::size_t>(got));
      drained_ = static_cast<std::size_t>(got) < block.size();
      return io_status::ok;
    }
    if (got == 0)
      return io_status::ended;
    if (errno != EAGAIN && errno != EINTR)
      return io_status::reset;
    drained_ = true;
  }
}

io_status connection::wait_without_reading(time_ms until, caller_watch& watch) {
  return wait(0, until, &watch);
}

namespace {

/// \returns the number of bytes sent; -1 with `errno` when there are none
ssize_t send_both(int descriptor, std::string_view first, std::string_view second) noexcept {
  // `sendmsg` takes pointers to non-const bytes, and only reads them.
  std::array<iovec, 2> parts{{{const_cast<char*>(first.data()), first.size()},     // NOLINT
                              {const_cast<char*>(second.data()), second.size()}}}; // NOLINT
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  return ::sendmsg(descriptor, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

io_status connection::write_all(std::string_view bytes, time_ms deadline, caller_watch* watch) {
  return write_all(bytes, {}, deadline, watch);
}

io_status connection::write_all(std::string_view head, std::string_view body, time_ms deadline,
                                caller_watch* watch) {
  used_ = true;
  while (!head.empty() || !body.empty()) {
    const auto sent = send_both(descriptor_, head, body);
    if (sent > 0) {
      const std::size_t of_head = std::min(static_cast<std::size_t>(sent), head.size());
      head.remove_prefix(of_head);
      body.remove_prefix(static_cast<std::size_t>(sent) - of_head);
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR)
      return io_status::reset;
    if (const io_status waited = wait(POLLOUT, deadline, watch); waited != io_status::ok)
      return waited;
  }
  return io_status::ok;
}

io_status connection::read_head(std::string& into, std::size_t most, time_ms deadline,
                                caller_watch* watch) {
  constexpr std::string_view end_mark = "\r\n\r\n";
  std::size_t searched = 0;
  for (;;) {
    const std::string_view bytes = buffered();
    const std::size_t from = searched < end_mark.size() ? 0 : searched - end_mark.size();
    const std::size_t end = bytes.find(end_mark, from);
    if (end != std::string_view::npos && end + end_mark.size() <= most) {
      into = bytes.substr(0, end + end_mark.size());
      consume(into.size());
      return io_status::ok;
    }
    if (bytes.size() > most)
      return io_status::reset;
    searched = bytes.size();
    if (const io_status status = fill(deadline, watch); status != io_status::ok)
      return status;
  }
}

bool connection::quiet() noexcept {
  if (!buffered().empty())
    return false;
  char byte = 0;
  const auto got = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EINTR);
}

bool connection::closed_by_peer() noexcept {
  char byte = 0;
  const auto got = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::trim() noexcept {
  if (buffer_.empty())
    std::string{}.swap(buffer_);
}

// The kernel doubles the size that is set, for its own structures, and may fill all of it with
// data. The window of a connection does not exceed the clamp that it began with.
void connection::set_receive_buffer(std::size_t bytes) noexcept {
  const int size = static_cast<int>(bytes / 2);
  (void)::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  const int window = static_cast<int>(bytes);
  (void)::setsockopt(descriptor_, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof window);
}

void connection::shutdown_write() noexcept {
  (void)::shutdown(descriptor_, SHUT_WR);
}

void connection::abort() noexcept {
  const linger at_once{1, 0};
  (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  (void)::shutdown(descriptor_, SHUT_RD);
}

void connection::abort_now() noexcept {
  abort();
  descriptor_ = -1; // another connection may get the number
  drained_ = false; // a poll would ignore the closed descriptor
  try {
    socket_.close();
  } catch (const Poco::Exception&) {
    return; // the peer has closed it
  }
}

connect_result connect_to(const std::string& address, time_ms timeout, const clock& time,
                          caller_watch* watch) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress{address});
    auto link = std::make_unique<connection>(socket, time);
    const io_status status = link->wait_open(time.now() + timeout, watch);
    if (status != io_status::ok)
      return {nullptr, status}; // the caller of this function logs the endpoint as unreachable
    socket.setNoDelay(true);
    enable_dead_peer_detection(socket);
    return {std::move(link), status};
  } catch (const Poco::Exception&) {
    return {nullptr, io_status::reset};
  }
}

void enable_dead_peer_detection(Poco::Net::StreamSocket& socket) {
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, idle_before_probe_s);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, probes);
}

} // namespace sedgechute
