#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sedgechute {

enum class io_status {
  ok,
  ended,       ///< the peer closed the connection in order
  reset,       ///< the connection failed
  timed_out,   ///< nothing happened before the deadline
  caller_left, ///< the watched caller closed its connection
  superseded,  ///< another connection that serves the request goes on with the answer
  interrupted, ///< the host is stopping
};

template <>
struct enum_names<io_status> {
  static constexpr auto entries = enum_table<io_status>({{io_status::ok, "ok"},
                                                         {io_status::ended, "ended"},
                                                         {io_status::reset, "reset"},
                                                         {io_status::timed_out, "timed_out"},
                                                         {io_status::caller_left, "caller_left"},
                                                         {io_status::superseded, "superseded"},
                                                         {io_status::interrupted, "interrupted"}});
};

/// \brief Detects, without consuming bytes, that a caller has closed its connection, and provides
/// the descriptor by which the stop of the host interrupts waits. It also detects bytes on other
/// connections that serve the same request.
class caller_watch {
 public:
  /// \param descriptor  of the caller's connection; -1: no caller is watched
  /// \param interrupt  becomes readable when waits must end; -1: never
  explicit caller_watch(int descriptor, int interrupt = -1) noexcept
      : descriptor_{descriptor}, interrupt_{interrupt} {}

  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
  [[nodiscard]] int interrupt() const noexcept { return interrupt_; }
  /// \returns the events to poll for; once the caller has pipelined bytes, `POLLIN` is left out, as
  /// it would end each poll at once
  [[nodiscard]] short events() const noexcept;
  /// \param seen  events that `poll` returned
  /// \returns whether the caller has closed its connection
  [[nodiscard]] bool left(short seen) noexcept;
  /// \returns whether the caller has closed its connection; does not wait
  [[nodiscard]] bool has_left() noexcept;

  /// \brief Looks without waiting.
  /// \returns `caller_left`, `interrupted`, or `ok`
  [[nodiscard]] io_status look() noexcept;

  /// \brief Another connection that serves the request.
  struct alternative {
    int descriptor{-1};      ///< -1: ignored
    bool awaits_head{false}; ///< nothing of the reply has been read
  };
  void set_alternatives(std::vector<alternative> all) { alternatives_ = std::move(all); }
  [[nodiscard]] const std::vector<alternative>& alternatives() const noexcept {
    return alternatives_;
  }
  /// \brief Ignores from now on an alternative that was closed, or whose reply is no success.
  /// \returns whether it goes on with the answer
  [[nodiscard]] bool goes_on(std::size_t alternative) noexcept;

 private:
  int descriptor_;
  int interrupt_;
  std::vector<alternative> alternatives_;
  bool sent_ahead_{false};
};

/// \brief A TCP connection with a read buffer. Each wait has a deadline and may watch a caller.
class connection {
 public:
  connection(const Poco::Net::StreamSocket& socket, const clock& time);
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection();

  /// \returns bytes that have been read and not yet consumed
  [[nodiscard]] std::string_view buffered() const noexcept;
  void consume(std::size_t count) noexcept;

  /// \brief Waits until a non-blocking connect completes.
  /// \returns `reset` when the connection was refused
  [[nodiscard]] io_status wait_open(time_ms deadline, caller_watch* watch);

  /// \brief Reads at least one more byte into the buffer.
  [[nodiscard]] io_status fill(time_ms deadline, caller_watch* watch = nullptr);
  /// \brief Makes the next `fill` read before it polls: a poll elsewhere has seen bytes.
  void note_readable() noexcept { drained_ = false; }
  /// \returns whether the last `fill` has polled its watch
  [[nodiscard]] bool watch_polled() const noexcept { return watch_polled_; }
  /// \brief Waits without reading while bytes collect.
  /// \returns `timed_out` at `until`; `ok` when the connection has failed before
  [[nodiscard]] io_status wait_without_reading(time_ms until, caller_watch& watch);
  [[nodiscard]] io_status write_all(std::string_view bytes, time_ms deadline,
                                    caller_watch* watch = nullptr);
  /// \brief Writes a message without joining its header and body in memory.
  [[nodiscard]] io_status write_all(std::string_view head, std::string_view body, time_ms deadline,
                                    caller_watch* watch = nullptr);

  /// \brief Reads a header up to and including the empty line that ends it.
  /// \param most  maximum size of the header in bytes
  /// \returns `reset` also for a larger header
  [[nodiscard]] io_status read_head(std::string& into, std::size_t most, time_ms deadline,
                                    caller_watch* watch = nullptr);

  /// \returns whether there are no unread bytes and the peer has not closed the connection
  [[nodiscard]] bool quiet() noexcept;

  /// \returns whether the peer has closed the connection, or it failed, without unread bytes
  [[nodiscard]] bool closed_by_peer() noexcept;

  /// \returns whether anything has been written
  [[nodiscard]] bool used() const noexcept { return used_; }

  /// \brief Bounds the bytes that the kernel holds of what has arrived and not been read.
  void set_receive_buffer(std::size_t bytes) noexcept;
  /// \brief Frees the memory of the buffer if it is empty.
  void trim() noexcept;
  /// \brief Shuts down writing; bytes from the peer can still be read.
  void shutdown_write() noexcept;
  /// \brief Resets the connection, so that the peer cannot take a partial message for a whole one.
  void abort() noexcept;
  /// \brief Resets the connection at once; nothing may be read or written any more.
  void abort_now() noexcept;

  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
  [[nodiscard]] const clock& time() const noexcept { return time_; }

 private:
  [[nodiscard]] io_status wait(short events, time_ms deadline, caller_watch* watch);

  Poco::Net::StreamSocket socket_;
  int descriptor_;
  const clock& time_;
  std::string buffer_;
  std::size_t consumed_{0};
  bool used_{false};
  bool drained_{false};      ///< the last read has emptied the socket
  bool watch_polled_{false}; ///< by the last `fill`
};

struct connect_result {
  std::unique_ptr<connection> link; ///< null when the connect failed
  /// Why the connect failed. `timed_out`: no reply at all; `reset`: refused, so the machine at the
  /// address is at least alive.
  io_status status{io_status::ok};
};

/// \param address  `IP:port`
/// \param watch    ends the wait early when its caller leaves or the host stops
[[nodiscard]] connect_result connect_to(const std::string& address, time_ms timeout,
                                        const clock& time, caller_watch* watch = nullptr);

/// \brief Sets keepalive and user timeout, so that a connection fails when its peer has vanished
/// without closing it.
void enable_dead_peer_detection(Poco::Net::StreamSocket& socket);

} // namespace sedgechute
