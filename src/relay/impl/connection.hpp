#pragma once

#include "kernel/kernel.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace sedgechute {

enum class io_status {
  ok,
  ended,       ///< the other side closed in good order
  reset,       ///< the connection failed
  timed_out,   ///< nothing within the time given
  caller_left, ///< the caller that is being served closed its connection
  interrupted, ///< the host stops
};

template <>
struct enum_names<io_status> {
  static constexpr auto entries = enum_table<io_status>({{io_status::ok, "ok"},
                                                         {io_status::ended, "ended"},
                                                         {io_status::reset, "reset"},
                                                         {io_status::timed_out, "timed_out"},
                                                         {io_status::caller_left, "caller_left"},
                                                         {io_status::interrupted, "interrupted"}});
};

/// \brief Tells whether the caller on a connection is still there, without reading its bytes, and
/// whether the host still serves it.
class caller_watch {
 public:
  /// \param descriptor  of the caller's connection; -1: only the host is watched
  /// \param interrupt  readable once waits shall end; -1: they never do
  explicit caller_watch(int descriptor, int interrupt = -1) noexcept
      : descriptor_{descriptor}, interrupt_{interrupt} {}

  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
  [[nodiscard]] int interrupt() const noexcept { return interrupt_; }
  /// \brief Events to poll for: once the caller has sent ahead, its bytes no longer wake us.
  [[nodiscard]] short events() const noexcept;
  /// \param seen  events that `poll` returned
  [[nodiscard]] bool left(short seen) noexcept;
  /// \returns whether the caller has left by now, without waiting
  [[nodiscard]] bool left_by_now() noexcept;

 private:
  int descriptor_;
  int interrupt_;
  bool sent_ahead_{false};
};

/// \brief A TCP connection with a read buffer; each wait has a deadline and may watch a caller.
class connection {
 public:
  connection(const Poco::Net::StreamSocket& socket, const clock& time);
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection();

  /// \brief Bytes that have been read and not yet consumed.
  [[nodiscard]] std::string_view buffered() const noexcept;
  void consume(std::size_t count) noexcept;

  /// \brief Waits until a connection that was begun is there.
  /// \returns `reset` when it was refused
  [[nodiscard]] io_status wait_open(time_ms deadline, caller_watch* watch);

  /// \brief Reads at least one more byte into the buffer.
  [[nodiscard]] io_status fill(time_ms deadline, caller_watch* watch = nullptr);
  [[nodiscard]] io_status write_all(std::string_view bytes, time_ms deadline,
                                    caller_watch* watch = nullptr);

  /// \brief Reads up to and with the empty line that ends a header.
  /// \param most  bytes of a header
  /// \returns `reset` for a longer one, too
  [[nodiscard]] io_status read_head(std::string& into, std::size_t most, time_ms deadline,
                                    caller_watch* watch = nullptr);

  /// \returns whether no byte has come and the other side has not closed.
  [[nodiscard]] bool quiet() noexcept;

  /// \brief Frees the memory of an empty buffer.
  void trim() noexcept;
  /// \brief Ends our side; what the other side sends may still be read.
  void end_writing() noexcept;
  /// \brief Resets the connection, so that what was sent cannot pass for a complete answer.
  void abort() noexcept;

  [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
  [[nodiscard]] const clock& time() const noexcept { return time_; }

 private:
  [[nodiscard]] io_status wait(short events, time_ms deadline, caller_watch* watch);

  Poco::Net::StreamSocket socket_;
  int descriptor_;
  const clock& time_;
  std::string buffer_;
  std::size_t consumed_{0};
};

struct connect_result {
  std::unique_ptr<connection> link; ///< null when there is none
  /// Why there is none. `timed_out`: nothing answered; a refusal (`reset`) proves at least a live
  /// host.
  io_status status{io_status::ok};
};

/// \param address  `IP:port`
/// \param watch    ends the wait for the other side
[[nodiscard]] connect_result connect_to(const std::string& address, time_ms timeout,
                                        const clock& time, caller_watch* watch = nullptr);

/// \brief Sets what ends a connection whose other side has gone without a word.
void guard_against_silence(Poco::Net::StreamSocket& socket);

} // namespace sedgechute
