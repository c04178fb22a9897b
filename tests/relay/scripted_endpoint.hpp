#pragma once

#include "relay/relay.hpp"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Reply of a scripted endpoint to one request.
struct scripted_reply {
  std::string bytes; ///< raw bytes to send
  /// `crash`: all connections are reset, and new ones refused; `leave`: all are closed in order.
  enum class then { keep, close, reset, hang, crash, leave } after{then::keep};
  std::string later; ///< sent after `pause`, before the action in `after`
  time_ms pause{60};
  std::function<bool()> may_go_on{}; ///< replaces `pause`: waits until it returns true
};

/// \brief An endpoint on loopback with replies from a test's script. A new object at the same
/// address acts as another incarnation.
class scripted_endpoint {
 public:
  struct seen_request {
    request_head head;
    std::string body;
  };
  using script = std::function<scripted_reply(const seen_request&)>;

  /// \param address  address of an earlier endpoint; empty: a free port
  explicit scripted_endpoint(script answer, const std::string& address = "");
  scripted_endpoint(const scripted_endpoint&) = delete;
  scripted_endpoint& operator=(const scripted_endpoint&) = delete;
  ~scripted_endpoint();

  [[nodiscard]] std::string address() const { return socket_.address().toString(); }
  [[nodiscard]] std::vector<seen_request> seen() const;
  [[nodiscard]] int connections() const noexcept { return connections_; }
  [[nodiscard]] bool crashed() const noexcept { return crashed_; }
  /// \returns whether, before `within` has passed, a connection with an unanswered request was
  /// closed by the host
  [[nodiscard]] bool saw_caller_leave(time_ms within) const;

 private:
  void accept();
  void serve(const Poco::Net::StreamSocket& socket);
  [[nodiscard]] bool exchange(connection& link);

  script answer_;
  steady_clock time_;
  Poco::Net::ServerSocket socket_;
  mutable std::mutex mutex_;
  std::vector<seen_request> seen_;
  std::atomic<int> connections_{0};
  std::atomic<int> left_{0};
  std::atomic<bool> stopping_{false};
  std::atomic<bool> crashed_{false};
  std::atomic<bool> closes_in_order_{false};
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// \returns the attempt id of a request; empty if it has none
[[nodiscard]] std::string attempt_of(const scripted_endpoint::seen_request& request);
/// \returns a script that gives every request a complete answer
[[nodiscard]] scripted_endpoint::script answers(const std::string& body);
/// \returns a script that sends every request the same bytes
[[nodiscard]] scripted_endpoint::script replies(const std::string& bytes,
                                                scripted_reply::then after);
/// \returns whether a chunked answer ends with the last chunk
[[nodiscard]] bool ends_in_order(const std::string& stream);
/// \returns a complete answer with the field that marks endpoints
[[nodiscard]] std::string whole_answer(const std::string& attempt, const std::string& body,
                                       int status = 200);
/// \returns the header of a chunked stream
[[nodiscard]] std::string stream_head(const std::string& attempt);
/// \returns an event as one chunk
[[nodiscard]] std::string event_chunk(int id);

} // namespace sedgechute
