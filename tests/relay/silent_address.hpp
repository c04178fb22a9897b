#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief A listening address at which connects time out because its backlog is full.
class silent_address {
 public:
  silent_address() : socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}, 1} {
    (void)::listen(socket_.impl()->sockfd(), 0);
    for (int i = 0; i < 8; ++i) {
      Poco::Net::StreamSocket one;
      one.connectNB(socket_.address());
      fill_.push_back(one);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
  }
  [[nodiscard]] std::string address() const { return socket_.address().toString(); }

 private:
  Poco::Net::ServerSocket socket_;
  std::vector<Poco::Net::StreamSocket> fill_;
};

} // namespace sedgechute
