#include "gateway/impl/tls_socket.hpp"

#include <Poco/Clock.h>
#include <Poco/Exception.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>

namespace sedgechute {

using Poco::Net::SecureStreamSocket;
using Poco::Net::SecureStreamSocketImpl;
using Poco::Net::StreamSocketImpl;

// Failure: a caller sends its handshake, or one TLS record, a byte at a time. The library's own
// waits start anew with each byte, so a few thousand such callers would hold every thread for
// hours. It shows as connections that hang while the processor idles. With the connection set not
// to block, the library comes back for each wait, and `wait_through` bounds their sum.
tls_socket::tls_socket(Poco::Net::StreamSocket& socket, const Poco::Net::Context::Ptr& context)
    : SecureStreamSocketImpl{static_cast<StreamSocketImpl*>(socket.impl()), context} {
  socket.setBlocking(false);
  acceptSSL();
}

void tls_socket::shake_hands(const Poco::Timespan& most) {
  wait_through([this] { return completeHandshake(); }, most);
}

int tls_socket::receiveBytes(void* buffer, int length, int flags) {
  if (waiting() && flags == 0)
    return take(buffer, length);
  return wait_through([&] { return SecureStreamSocketImpl::receiveBytes(buffer, length, flags); },
                      getReceiveTimeout());
}

int tls_socket::sendBytes(const void* buffer, int length, int flags) {
  return wait_through([&] { return SecureStreamSocketImpl::sendBytes(buffer, length, flags); },
                      getSendTimeout());
}

// Bytes that were decrypted with the ones before them no longer show on the connection.
bool tls_socket::poll(const Poco::Timespan& timeout, int mode) {
  if ((mode & SELECT_READ) != 0 && (waiting() || available() > 0))
    return true;
  return SecureStreamSocketImpl::poll(timeout, mode);
}

// The library leaves this out for TLS. Whoever is told a refusal must see its end while it still
// sends; the refusal's own length says that it is whole.
void tls_socket::shutdownSend() {
  ::shutdown(sockfd(), SHUT_WR);
}

int tls_socket::wait_through(const std::function<int()>& step, const Poco::Timespan& most) {
  const Poco::Clock start;
  for (;;) {
    const int result = step();
    const bool reads = result == SecureStreamSocket::ERR_SSL_WANT_READ;
    if (!reads && result != SecureStreamSocket::ERR_SSL_WANT_WRITE)
      return result;
    const Poco::Timespan left{most.totalMicroseconds() - start.elapsed()};
    if (left <= 0 || !SecureStreamSocketImpl::poll(left, reads ? SELECT_READ : SELECT_WRITE))
      throw Poco::TimeoutException{};
  }
}

} // namespace sedgechute
