#pragma once

#include "gateway/impl/reread_bytes.hpp"

#include <Poco/Net/Context.h>
#include <Poco/Net/SecureStreamSocketImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>

namespace sedgechute {

/// \brief The host's end of a TLS connection, whose waits are bounded as a whole, and whose next
/// bytes may be ones that were read before.
class tls_socket final : public Poco::Net::SecureStreamSocketImpl, public reread_bytes {
 public:
  /// \param socket  an accepted connection
  tls_socket(Poco::Net::StreamSocket& socket, const Poco::Net::Context::Ptr& context);

  /// \throws Poco::Exception when the other side fails to prove itself, speaks no TLS or takes
  /// longer than `most`
  void shake_hands(const Poco::Timespan& most);

  // NOLINTBEGIN(readability-identifier-naming): overrides the library's names
  int receiveBytes(void* buffer, int length, int flags) override;
  int sendBytes(const void* buffer, int length, int flags) override;
  bool poll(const Poco::Timespan& timeout, int mode) override;
  void shutdownSend() override;
  // NOLINTEND(readability-identifier-naming)

 private:
  /// \brief Repeats `step` while it waits for the network, for `most` in all.
  int wait_through(const std::function<int()>& step, const Poco::Timespan& most);
};

} // namespace sedgechute
