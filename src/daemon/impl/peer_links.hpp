#pragma once

#include "daemon/impl/datagram_path.hpp"
#include "kernel/kernel.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Where to reach an incarnation of another host.
struct peer_address {
  incarnation who;
  std::string address; ///< `IP:port`
};

/// \brief How datagrams leave and what arrives is handed to.
struct datagram_ports {
  std::function<void(const std::string& address, const std::string& datagram)> send;
  std::function<void(const wire::envelope&)> on_envelope;
};

/// \brief First byte of a datagram between links, sealed or not. No protobuf message begins with
/// it, so the socket can be shared with membership.
inline constexpr char control_mark = static_cast<char>(datagram_purpose::control);

/// \brief Sends messages to other hosts. Thread-safe, never blocks.
///
/// Small messages go as datagrams, those of a few milliseconds together. Large ones, and all to a
/// peer that datagrams don't reach, go by gRPC: each peer has a queue and at most one batch on its
/// way, so a slow peer makes batches larger instead of calls more. A queue that is full drops its
/// oldest messages, and datagrams may be lost, repeated or reordered: every protocol above repeats
/// what was not answered. A connection is opened when used and closed when idle.
class peer_links {
 public:
  peer_links(incarnation self, time_ms call_timeout, const peer_credentials& credentials);
  peer_links(const peer_links&) = delete;
  peer_links& operator=(const peer_links&) = delete;
  ~peer_links();

  /// \brief Keys that seal and open datagrams; none, as at first: they pass unsealed.
  void use_datagram_keys(std::vector<datagram_key> keys);
  /// \brief Lets small messages go as datagrams from now on; to be called once.
  void use_datagrams(datagram_ports ports);
  /// \brief Stops handing messages on; to be called before what `datagram_ports` names is gone.
  void stop_datagrams();
  /// \brief Takes a datagram that begins with `control_mark`. Never blocks; drops it when many
  /// wait.
  void on_datagram(std::string_view datagram);

  /// \brief Replaces the addresses; links to hosts that are gone are closed.
  void set_peers(const std::vector<peer_address>& peers);

  /// \brief Queues a message; dropped when the incarnation is not known.
  void send(const incarnation& to, wire::envelope message);

  /// \returns a stub for calls of another kind, or null when the host is not known.
  [[nodiscard]] std::shared_ptr<wire::peer::Stub> stub_for(const host_id& to);

 private:
  struct link;
  struct outgoing {
    std::string address;
    std::string datagram;
  };

  void call(const std::shared_ptr<link>& to);
  [[nodiscard]] bool pack(const std::shared_ptr<link>& to, const wire::envelope& message,
                          std::vector<outgoing>& out);
  [[nodiscard]] outgoing close_datagram(link& to, bool acknowledged);
  void flush(std::vector<outgoing>& out);
  void retire(std::shared_ptr<wire::peer::Stub> stub);
  [[nodiscard]] std::vector<std::shared_ptr<wire::peer::Stub>> take_retired();
  void upkeep(link& peer, std::vector<outgoing>& out);
  void transmit(const std::vector<outgoing>& out);
  void send_loop();
  void receive_loop();
  void receive(const std::string& arrived);

  incarnation self_;
  time_ms call_timeout_;
  const peer_credentials& credentials_;
  steady_clock time_;
  ordered_mutex mutex_{lock_rank::outbox};
  std::condition_variable_any idle_;
  std::condition_variable_any wake_;
  std::condition_variable_any arrived_;
  std::size_t calls_{0};
  bool stopping_{false};
  bool datagrams_{false};
  std::vector<std::shared_ptr<link>> filling_; ///< have messages that wait for others
  datagram_ports ports_;
  datagram_seal seal_;
  std::deque<std::string> inbox_;
  std::map<host_id, std::shared_ptr<link>> links_;
  struct retired_stub {
    std::shared_ptr<wire::peer::Stub> stub;
    time_ms since;
  };
  std::deque<retired_stub> retired_;
  std::vector<std::thread> threads_;
};

} // namespace sedgechute
