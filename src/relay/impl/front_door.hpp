#pragma once

#include "relay/impl/request_relay.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>

namespace sedgechute {

struct front_door_options {
  std::size_t most_connections{700}; ///< threads; each uses some 30 KB of its stack
  time_ms body_timeout{10000};       ///< for a whole request body
  time_ms closing_timeout{300};      ///< for a caller to read the answer to bytes we did not read
};

/// \brief Takes callers' connections, one thread each, and reads requests for a relay.
class front_door {
 public:
  front_door(request_relay& relay, const wire_dialect& dialect,
             std::function<caller_limits()> limits, const front_door_options& options,
             const Poco::Net::ServerSocket& socket, const clock& time, structured_log& log);
  front_door(const front_door&) = delete;
  front_door& operator=(const front_door&) = delete;
  ~front_door();

  void start();
  [[nodiscard]] std::size_t connections() const noexcept { return connections_; }
  /// \returns requests that arrive or are served.
  [[nodiscard]] std::size_t unanswered() const noexcept { return unanswered_; }
  /// \returns the same, and those whose answer is written and whose connection is being closed.
  [[nodiscard]] std::size_t busy() const noexcept { return busy_; }

 private:
  friend class caller_connection;

  request_relay& relay_;
  const wire_dialect& dialect_;
  std::function<caller_limits()> limits_;
  front_door_options options_;
  const clock& time_;
  structured_log& log_;
  Poco::ThreadPool threads_;
  std::atomic<std::size_t> connections_{0};
  std::atomic<std::size_t> unanswered_{0};
  std::atomic<std::size_t> busy_{0};
  std::atomic<bool> closing_{false};
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

} // namespace sedgechute
