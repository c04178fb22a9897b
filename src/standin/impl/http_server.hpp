#pragma once

#include "standin/impl/faults.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace sedgechute::standin {

/// \brief One accepted connection. A silenced one is never written to again.
struct connection {
  Poco::Net::StreamSocket socket;
  std::atomic<bool> silenced{false};
  std::atomic<bool> closed{false}; ///< by us
};

/// \brief One call in progress: the request, and the ways to answer it.
class exchange {
 public:
  /// \throws Poco::Exception when the request's URI is malformed
  exchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
           connection& link, fault_board& board);

  [[nodiscard]] const std::string& method() const { return request_.getMethod(); }
  [[nodiscard]] const std::string& path() const noexcept { return path_; }
  [[nodiscard]] std::string header(const std::string& name) const;
  [[nodiscard]] std::string parameter(const std::string& name, const std::string& fallback) const;
  [[nodiscard]] std::int64_t number(const std::string& name, std::int64_t fallback) const;
  [[nodiscard]] std::istream& body_stream() { return request_.stream(); }

  /// \returns the whole body
  [[nodiscard]] const std::string& body();
  /// \throws Poco::Exception when the body is not a JSON object
  [[nodiscard]] Poco::JSON::Object::Ptr json_body();

  /// \brief Answers, unless faults make the answer late or lost.
  void answer(int status, const std::string& text, const std::string& type = "application/json");
  void set_header(const std::string& name, const std::string& value);

  /// \brief Begins a streamed answer.
  [[nodiscard]] std::ostream& begin_stream(const std::string& type);

  [[nodiscard]] const connection& link() const noexcept { return link_; }

  /// \brief Closes the connection without an answer or in the middle of one.
  void abandon();
  /// \returns whether the caller has closed or lost the connection
  [[nodiscard]] bool caller_gone() const;
  /// \returns whether the connection is silenced or closed and must not be written to
  [[nodiscard]] bool dead() const noexcept { return link_.silenced || link_.closed; }
  /// \brief Holds a silenced connection until the caller closes it.
  void hold() const;

 private:
  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  connection& link_;
  fault_board& board_;
  std::string path_;
  std::vector<std::pair<std::string, std::string>> parameters_;
  std::string body_;
  bool body_read_{false};
};

/// \brief An HTTP server of one stand-in. It handles `POST /admin/faults`, outages, delays and
/// silent connections itself and hands every other call to the handler.
class http_server {
 public:
  using handler = std::function<void(exchange&)>;

  /// \throws Poco::Net::NetException when the address cannot be bound
  http_server(const Poco::Net::SocketAddress& address, handler handle);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server();

  [[nodiscard]] fault_board& board() noexcept { return board_; }
  [[nodiscard]] Poco::Net::SocketAddress address() const;

  /// \brief Closes every open connection, as the death of the process would.
  void close_connections();
  /// \brief Refuses every connection until `restart_ms` has passed.
  void crash();

  void serve(exchange& call);
  void admit(const std::shared_ptr<connection>& link);
  void forget(const std::shared_ptr<connection>& link);
  [[nodiscard]] bool crashed() const;

 private:
  void change_faults(exchange& call);
  void silence_connections(const connection& but);

  handler handle_;
  fault_board board_;
  mutable std::mutex mutex_;
  std::set<std::shared_ptr<connection>> open_;
  std::chrono::steady_clock::time_point down_until_{};
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

/// \returns the threads that serve all connections of the process
[[nodiscard]] Poco::ThreadPool& connection_threads();

/// \returns `{"error":"<why>"}`
[[nodiscard]] std::string error_text(const std::string& why);

/// \returns compact JSON
[[nodiscard]] std::string to_text(const Poco::JSON::Object& object);

} // namespace sedgechute::standin
