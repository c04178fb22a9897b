#pragma once

#include "gateway/impl/request_header.hpp"
#include "gateway/impl/unfinished_requests.hpp"
#include "intake/intake.hpp"

#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief A caller's connection, of which every read has a deadline.
///
/// Guards against callers that send a byte at a time: each byte comes within the socket's timeout,
/// so only a bound on the whole phase keeps a few thousand of them from holding every thread.
class caller_session final : public Poco::Net::HTTPServerSession {
 public:
  caller_session(const Poco::Net::StreamSocket& socket, Poco::Net::HTTPServerParams::Ptr params,
                 unfinished_requests& unfinished, const clock& time);

  /// \param interrupt  a descriptor that can be read once the wait shall end
  /// \returns whether anything came, or the caller closed, within `most` and before the caller
  /// was evicted
  [[nodiscard]] bool wait_for_request(time_ms most, int interrupt);

  /// \brief Reads a header up to and with its empty line and leaves it to be read again.
  /// \returns the header; empty when the caller closed before it was whole
  /// \throws error `slow_caller`, `payload_too_large`
  [[nodiscard]] std::string read_header(const header_limits& limits, time_ms deadline);

  /// \returns the next byte, or a negative number at the connection's end.
  /// \throws error `slow_caller`
  [[nodiscard]] int next_byte(time_ms deadline);

  /// \brief Reads what has arrived, waiting for at least one byte.
  /// \returns the bytes read; 0 at the connection's end
  /// \throws error `slow_caller`
  [[nodiscard]] std::size_t read_some(char* into, std::size_t most, time_ms deadline);

  /// \brief Ends our side and discards what the caller still sends. Closing with bytes unread would
  /// reset the connection and take the answer from a caller that has not read it yet.
  void close_gently(time_ms most) noexcept;

  [[nodiscard]] const clock& time() const noexcept { return time_; }
  [[nodiscard]] unfinished_requests& unfinished() noexcept { return unfinished_; }

 private:
  /// \throws error `slow_caller`
  void wait(time_ms deadline);
  /// \returns how long to wait before the next decision about an eviction
  [[nodiscard]] time_ms until_next_look(time_ms silent_since) const noexcept;

  unfinished_requests& unfinished_;
  const clock& time_;
  arrival_progress progress_;
};

/// \returns a socket for the same connection that can be given bytes to be read again; `socket` is
/// closed.
[[nodiscard]] Poco::Net::StreamSocket make_rereadable(Poco::Net::StreamSocket& socket);

/// \brief The same over TLS, once the other side has shown what `context` asks for.
/// \throws Poco::Exception when it has not within `most`
[[nodiscard]] Poco::Net::StreamSocket
accept_tls(Poco::Net::StreamSocket& socket, const Poco::Net::Context::Ptr& context, time_ms most);

} // namespace sedgechute
