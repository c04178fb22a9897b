#pragma once

#include "gateway/impl/caller_api.hpp"
#include "gateway/impl/listener_credentials.hpp"
#include "gateway/impl/request_header.hpp"
#include "gateway/impl/unfinished_requests.hpp"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace sedgechute {

struct http_server_options {
  std::size_t most_connections{4096};
  header_limits header;
  time_ms header_timeout{5000}; ///< for a whole request header, and for a connection's first byte
  time_ms write_timeout{30000}; ///< longest block on a caller that does not read
  time_ms keep_alive{15000};
  time_ms thread_idle{2000}; ///< before a thread without a connection ends; may delay a stop
  std::shared_ptr<const listener_credentials> credentials{}; ///< null: plain text
  std::size_t arriving_bytes{std::size_t{32} << 20U};        ///< of all bodies that arrive
  time_ms stall{2000};           ///< a caller silent for so long may be evicted
  time_ms closing_timeout{1000}; ///< for a refused caller to read why, while it still sends
};

/// \brief An HTTP server with one thread a connection, each with a small stack. Each phase of a
/// connection is bounded in time, and requests whose header is not plain are refused before anyone
/// reads them.
class http_server {
 public:
  /// \brief Answers one request; errors that it throws become refusals.
  using request_handler = std::function<void(caller_exchange&)>;

  http_server(request_handler handle, const http_server_options& options,
              const Poco::Net::ServerSocket& socket, const clock& time);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  void start();

  /// \brief Each answer from now on is the last of its connection, and says so.
  void end_connections() noexcept { ending_ = true; }

  /// \brief Takes nothing more: no connection, and no request on those that are open. Idle ones
  /// end, requests that run are answered.
  void stop_taking();

  /// \returns connections that are open now.
  [[nodiscard]] std::size_t connections() const noexcept { return connections_; }
  [[nodiscard]] const unfinished_requests& unfinished() const noexcept { return unfinished_; }

 private:
  friend class http_connection;

  void serve(Poco::Net::HTTPServerRequestImpl& request, Poco::Net::HTTPServerResponseImpl& response,
             request_body& body);
  [[nodiscard]] bool crowded() const noexcept;

  request_handler handle_;
  http_server_options options_;
  const clock& time_;
  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::ThreadPool threads_;
  unfinished_requests unfinished_;
  std::atomic<std::size_t> connections_{0};
  std::atomic<bool> ending_{false};
  std::atomic<bool> stopping_{false};
  latch_pipe idle_end_; ///< ends the waits for a next request
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

} // namespace sedgechute
