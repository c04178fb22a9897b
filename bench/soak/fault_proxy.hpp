#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute::soak {

enum class link_fault {
  none,
  delay,  ///< bytes take longer, both ways
  silent, ///< nothing passes, nothing is closed
  one_way ///< answers do not pass
};

/// \brief A loopback proxy in front of one server, which does to its connections what links do.
class fault_proxy {
 public:
  explicit fault_proxy(std::string target);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  [[nodiscard]] std::string address() const { return socket_.address().toString(); }
  /// \brief Connections from now on go to another server.
  void lead_to(const std::string& target);
  void set(link_fault fault) noexcept { fault_ = fault; }
  /// \brief Resets every open connection.
  void reset_connections() noexcept { ++resets_; }

 private:
  [[nodiscard]] std::string target();
  void accept();
  void pass(Poco::Net::StreamSocket from);
  /// \returns false when the connection is over
  [[nodiscard]] static bool pass_some(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to);

  std::mutex mutex_;
  std::string target_;
  Poco::Net::ServerSocket socket_;
  std::atomic<link_fault> fault_{link_fault::none};
  std::atomic<int> resets_{0};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

} // namespace sedgechute::soak
