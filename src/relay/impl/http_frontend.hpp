#pragma once

#include "relay/impl/caller_poll.hpp"
#include "relay/impl/elastic_pool.hpp"
#include "relay/impl/request_relay.hpp"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace sedgechute {

struct http_frontend_options {
  time_ms body_timeout{10000};                                   ///< for a whole request body
  std::size_t framing_per_byte{chunk_bounds{}.framing_per_byte}; ///< of chunked bodies
  caller_poll_options connections{};
  bool from_hosts{false};         ///< serves requests that other hosts forward
  elastic_pool_options threads{}; ///< each serves one request and uses some 30 KB of its stack
};

/// \brief HTTP server in front of a relay, for callers or for other hosts. One thread polls all
/// idle connections, and each accepted request gets a thread from a pool. Under load, requests are
/// refused by their header alone.
class http_frontend {
 public:
  http_frontend(request_relay& relay, const wire_dialect& dialect,
                std::function<caller_limits()> limits, const http_frontend_options& options,
                const Poco::Net::ServerSocket& socket, const clock& time, structured_log& log);
  http_frontend(const http_frontend&) = delete;
  http_frontend& operator=(const http_frontend&) = delete;
  ~http_frontend();

  void start();
  [[nodiscard]] std::size_t connections() const noexcept { return poll_.connections(); }
  /// \returns the number of requests that are being read or served
  [[nodiscard]] std::size_t unanswered() const noexcept { return unanswered_; }
  /// \returns the same, plus the connections that are being closed after their last answer
  [[nodiscard]] std::size_t busy() const noexcept { return busy_ + poll_.closing(); }
  /// \returns how long the first request has been waiting for a thread; 0 when none waits
  [[nodiscard]] time_ms thread_wait() const { return threads_.longest_wait(); }

 private:
  struct job;
  enum class arrival;

  [[nodiscard]] arrival_terms terms(bool on_polling_thread);
  void dispatch(std::unique_ptr<caller_connection> caller);
  /// \brief Reads what has arrived of a request, without waiting for more. A request that cannot be
  /// accepted is refused, and its connection is closed.
  [[nodiscard]] arrival receive(std::unique_ptr<caller_connection>& caller, bool on_polling_thread);
  /// \brief Reads until the request is whole or nothing more has arrived.
  [[nodiscard]] arrival_state read_arrived(caller_connection& caller, const arrival_terms& terms,
                                           io_status& status);
  /// \brief Decides about a request whose body is large or of unknown size by its header alone.
  /// \returns false when it has been refused
  [[nodiscard]] bool admit_body(caller_connection& caller);
  /// \brief Decides on the host's load about a request that is whole.
  /// \returns `whole` when it is accepted
  [[nodiscard]] arrival screen(caller_connection& caller, preparing_requests::guard& guard);
  void note_refused();
  void run(const std::shared_ptr<job>& work);
  void refuse(job& work);
  /// \brief Refuses a request that has not arrived, and closes its connection.
  void refuse_arrival(std::unique_ptr<caller_connection> caller, const error& reason);
  void refuse_for_memory(std::unique_ptr<caller_connection> caller);
  /// \brief Serves the requests that have arrived on a connection and returns it to the poll.
  void serve(job& work);
  [[nodiscard]] connection_action answer_one(caller_connection& caller,
                                             preparing_requests::guard guard, load_check checked);

  request_relay& relay_;
  const wire_dialect& dialect_;
  std::function<caller_limits()> limits_;
  http_frontend_options options_;
  const clock& time_;
  structured_log& log_;
  std::atomic<std::size_t> unanswered_{0};
  std::atomic<std::size_t> busy_{0};
  elastic_pool threads_;
  std::mutex refused_mutex_;
  std::uint64_t refused_{0}; ///< since the last log line about refusals
  time_ms refused_told_;
  caller_poll poll_;
};

} // namespace sedgechute
