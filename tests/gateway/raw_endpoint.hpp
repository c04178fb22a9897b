#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute::testing {

/// \brief How a `raw_endpoint` answers a request.
struct raw_reply {
  enum class end { close, reset };

  std::string bytes;
  end after{end::close};
  bool reads_body{true}; ///< before it answers; only bodies with a length
  std::chrono::milliseconds pause{};
  std::size_t repeats{1}; ///< of the bytes
};

/// \brief An endpoint that answers each connection with fixed bytes and ends it.
class raw_endpoint {
 public:
  explicit raw_endpoint(raw_reply reply);
  raw_endpoint(const raw_endpoint&) = delete;
  raw_endpoint& operator=(const raw_endpoint&) = delete;
  ~raw_endpoint();

  [[nodiscard]] std::string address() const { return socket_.address().toString(); }

 private:
  void accept();
  void serve(Poco::Net::StreamSocket link);
  void read_request(Poco::Net::StreamSocket& link) const;

  raw_reply reply_;
  Poco::Net::ServerSocket socket_{Poco::Net::SocketAddress{"127.0.0.1", 0}};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> serving_;
  std::thread acceptor_;
};

} // namespace sedgechute::testing
