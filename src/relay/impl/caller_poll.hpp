#pragma once

#include "admission/admission.hpp"
#include "intake/intake.hpp"
#include "relay/impl/arriving_request.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/planned_stop.hpp"
#include "telemetry/telemetry.hpp"

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Why a request is refused before all of it has arrived.
enum class arrival_end {
  none,
  late,    ///< its deadline has passed
  evicted, ///< it has been silent, and others need its memory
  dropped, ///< the same, and its connection is closed at once
  stopped, ///< the host's grace period has ended
};

/// \brief One caller's connection.
struct caller_connection {
  caller_connection(const Poco::Net::StreamSocket& socket, const clock& time,
                    std::atomic<std::size_t>& counted);
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection();

  Poco::Net::StreamSocket socket;
  connection link;
  std::size_t requests{0};                     ///< received on this connection
  time_ms since;                               ///< when the current wait began
  std::unique_ptr<arriving_request> request{}; ///< the one that arrives or has arrived
  arrival_end ended_by{arrival_end::none};     ///< of the request that arrives
  bool shed{false};                            ///< the arriving request is to be refused
  bool registered{false};                      ///< its descriptor has been added to the epoll set
  held_bytes::guard held{};                    ///< counts the connection
  std::size_t receive_bytes{0};                ///< that the kernel may hold of it
  std::size_t unread{0}; ///< while closing: bytes that a refused body may still have
  time_ms drained_by{};  ///< while closing with such bytes: when to close at the latest
  std::atomic<std::size_t>& count;
  std::atomic<std::size_t>* closing{nullptr}; ///< counter of closing connections; null before
};

struct caller_poll_options {
  std::size_t max_connections{3000};
  time_ms closing_timeout{300}; ///< for the caller to read the last answer and close
  time_ms unread_timeout{2000}; ///< while closing: for more bytes of a refused body
  time_ms drain_timeout{10000}; ///< for all of them
  time_ms stall{2000};          ///< a connection that has been silent for so long may be evicted
  receive_bounds receive{};
};

/// \brief Accepts callers' connections and polls, on one thread, all connections on which no
/// request is being served.
class caller_poll {
 public:
  /// \brief Receives a connection whose buffer holds newly read bytes.
  using ready_handler = std::function<void(std::unique_ptr<caller_connection>)>;

  /// \param idle_timeout  returns the time after which a connection without a request is closed
  caller_poll(const Poco::Net::ServerSocket& socket, const planned_stop& stop,
              std::function<time_ms()> idle_timeout, held_bytes& memory, metrics& figures,
              const caller_poll_options& options, const clock& time, structured_log& log,
              ready_handler on_ready);
  caller_poll(const caller_poll&) = delete;
  caller_poll& operator=(const caller_poll&) = delete;
  ~caller_poll();

  void start();
  void stop() noexcept;

  /// \brief Waits for the next request on a connection, or for the rest of a partly read one.
  void wait_for_request(std::unique_ptr<caller_connection> caller);
  /// \brief Shuts down writing; closes the connection when the caller does, or after
  /// `closing_timeout`. The rest of a refused body (`unread`) is read and dropped before.
  void close_gracefully(std::unique_ptr<caller_connection> caller);

  /// \brief Closes the connection that has been silent longest, if it has been so for `stall`; an
  /// unfinished request is refused. Only on the polling thread.
  /// \returns whether there was one
  [[nodiscard]] bool evict(eviction_scope scope);

  [[nodiscard]] std::size_t connections() const noexcept { return connections_; }
  /// \returns the number of connections that are being closed
  [[nodiscard]] std::size_t closing() const noexcept { return closing_; }

 private:
  using callers = std::unordered_map<int, std::unique_ptr<caller_connection>>;

  void run();
  void handle(int descriptor);
  void accept_callers();
  void listen(bool on) noexcept;
  void note_ready(int descriptor);
  /// \brief Reads available bytes and passes the connection to the handler if there are any.
  void take_bytes(std::unique_ptr<caller_connection> caller);
  void drain(std::unique_ptr<caller_connection> caller);
  void park(std::unique_ptr<caller_connection> caller);
  /// \returns null when there is no room for another connection
  [[nodiscard]] std::unique_ptr<caller_connection> admit(int descriptor);
  [[nodiscard]] std::vector<waiting_connection> waiting() const;
  /// \param served_only  keeps connections that have not had a request yet
  void close_waiting(bool served_only);
  void close_overdue();
  /// \returns whether a connection that is being closed has waited long enough for its caller
  [[nodiscard]] bool closes_late(const caller_connection& caller, time_ms now) const noexcept;
  void add(int descriptor) noexcept;

  Poco::Net::ServerSocket socket_;
  const planned_stop& stop_;
  std::function<time_ms()> idle_timeout_;
  held_bytes& memory_;
  metrics& figures_;
  caller_poll_options options_;
  const clock& time_;
  structured_log& log_;
  ready_handler on_ready_;
  int epoll_{-1};
  latch_pipe end_;
  bool listening_{false};
  std::atomic<bool> ended_{false};
  std::atomic<std::size_t> connections_{0};
  std::atomic<std::size_t> closing_{0};
  time_ms next_eviction_{}; ///< none is looked for before
  mutable ordered_mutex mutex_{lock_rank::worker_pool};
  callers callers_;
  bool served_closed_{false}; ///< connections that have had a request are closed when idle
  bool all_closed_{false};
  std::thread thread_;
};

} // namespace sedgechute
