#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace sedgechute::soak {

enum class link_fault {
  none,
  delay,       ///< bytes take longer, both ways
  silent,      ///< nothing passes, nothing is closed
  no_answers,  ///< only what callers send passes
  no_requests, ///< only what the server sends passes
};

/// \brief A loopback proxy in front of one server, which does to its connections what links do.
class fault_proxy {
 public:
  /// \param ip  at which it listens
  explicit fault_proxy(std::string target, const std::string& ip = "127.0.0.1");
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  [[nodiscard]] std::string address() const { return address_; }
  /// \brief Connections from now on go to another server.
  void lead_to(const std::string& target);
  void set(link_fault fault) noexcept { fault_ = fault; }
  /// \returns whether bytes may be held up now
  [[nodiscard]] bool harmed() const noexcept {
    return fault_ != link_fault::none || holding_up_ > 0;
  }
  /// \brief Holds up what the server sends, as where the server itself sends nothing for a while;
  /// no harm of the link.
  void hold_answers(bool holds) noexcept { holds_answers_ = holds; }
  /// \brief Refuses new connections, as where no process listens, or accepts them again.
  void refuse(bool refuses) noexcept { refuses_ = refuses; }
  /// \brief Resets every open connection.
  void reset_connections() noexcept { ++resets_; }
  /// \brief Open connections are silent from now on and for good; new ones work.
  void silence_connections() noexcept { ++silences_; }
  /// \brief The same two for connections from one IP number.
  void reset_connections_from(const std::string& ip);
  void silence_connections_from(const std::string& ip);

 private:
  struct worker {
    std::thread thread;
    std::atomic<bool> done{false};
  };

  /// How often connections were reset and silenced.
  struct fault_counts {
    int resets{};
    int silences{};
  };

  [[nodiscard]] std::string target();
  /// \returns the counts for connections from an IP number
  [[nodiscard]] fault_counts counts_for(const std::string& ip);
  void accept();
  /// \brief Stops or resumes listening; the port stays bound meanwhile.
  void set_listening(bool listens);
  void join_done();
  void pass(Poco::Net::StreamSocket from);
  /// \brief Passes bytes until the connection ends, by itself or by a reset.
  void pass_all(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to, const std::string& ip,
                const fault_counts& before);
  /// \brief Passes nothing more; ends when the proxy does, or with a reset of all connections.
  void hold_up(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to, const std::string& ip,
               int resets);
  /// \returns false when the connection is over
  [[nodiscard]] static bool pass_some(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to);

  std::mutex mutex_;
  std::string target_;
  std::map<std::string, fault_counts> counts_by_ip_;
  Poco::Net::ServerSocket socket_; ///< used by the acceptor alone
  std::string address_;
  std::atomic<link_fault> fault_{link_fault::none};
  std::atomic<bool> holds_answers_{false};
  std::atomic<bool> refuses_{false};
  std::atomic<int> resets_{0};
  std::atomic<int> silences_{0};
  std::atomic<int> holding_up_{0}; ///< silent connections on which something was sent
  std::atomic<bool> stopping_{false};
  std::list<worker> workers_; ///< used by the acceptor alone
  std::thread acceptor_;
};

} // namespace sedgechute::soak
