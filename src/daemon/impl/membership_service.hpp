#pragma once

#include "clients/clients.hpp"
#include "membership/membership.hpp"
#include "telemetry/telemetry.hpp"
#include "wire/wire.hpp"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <functional>
#include <string_view>
#include <thread>

namespace sedgechute {

/// \brief Runs the failure detector over UDP on the host's peer address.
///
/// Datagrams rather than gRPC: a heartbeat must not open a connection to each of hundreds of
/// hosts, and a lost one is the protocol's ordinary case.
class membership_service {
 public:
  using view_listener = std::function<void(const membership_view&)>;

  /// \param on_view  called after each change of the view, without locks held
  membership_service(const incarnation& self, data_centre_id data_centre, const http_target& listen,
                     const clock& time, datagram_seal& seal, metrics& numbers,
                     view_listener on_view);
  membership_service(const membership_service&) = delete;
  membership_service& operator=(const membership_service&) = delete;
  ~membership_service();

  /// \brief Lets links between hosts share the socket; to be called before `start`.
  /// \param mark    first byte of their datagrams, with which no message of membership begins
  /// \param listen  takes one that arrived; must not block
  void share_socket(char mark, std::function<void(std::string_view)> listen);
  /// \brief Sends a datagram as it is.
  void send(const std::string& address, const std::string& datagram);

  void start();
  void on_host_list(const host_listing& list);
  /// \brief Tells the others that this host takes no new work, or that it goes now.
  void leave();
  void stop();

  [[nodiscard]] membership_view view();

 private:
  void receive_loop();
  void tick_loop();
  /// \brief Runs `step` under the lock, then sends what it produced and reports a new view.
  void advance(const std::function<void(membership&, time_ms)>& step);
  void send(const std::vector<addressed_membership_message>& messages);

  const clock& time_;
  datagram_seal& seal_;
  metrics& numbers_;
  view_listener on_view_;
  ordered_mutex mutex_{lock_rank::membership};
  membership members_;
  std::uint64_t reported_version_{0};
  Poco::Net::DatagramSocket socket_;
  char shared_mark_{0};
  std::function<void(std::string_view)> shared_listener_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

} // namespace sedgechute
