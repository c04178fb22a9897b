#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "kernel/kernel.hpp"
#include "prepaid/prepaid.hpp"
#include "relay/impl/host_list.hpp"
#include "telemetry/telemetry.hpp"

#include <Poco/Net/DatagramSocket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Type of a datagram between entry hosts; its first byte.
enum class peer_message : std::uint8_t {
  load_report = 1,
  token_loan = 2,
  quarantine = 3,
  endpoint_limits = 4,
  stream_builds = 5,
  brittle_endpoints = 6,
  endpoint_room = 7,
  prompt_parts = 8,
};

template <>
struct enum_names<peer_message> {
  static constexpr auto entries =
      enum_table<peer_message>({{peer_message::load_report, "load_report"},
                                {peer_message::token_loan, "token_loan"},
                                {peer_message::quarantine, "quarantine"},
                                {peer_message::endpoint_limits, "endpoint_limits"},
                                {peer_message::stream_builds, "stream_builds"},
                                {peer_message::brittle_endpoints, "brittle_endpoints"},
                                {peer_message::endpoint_room, "endpoint_room"},
                                {peer_message::prompt_parts, "prompt_parts"}});
};

/// \brief Another entry host and the address at which it receives datagrams.
struct peer {
  std::string host;
  std::string data_centre;
  Poco::Net::SocketAddress address;
};

struct peer_channel_options {
  /// Time between reads of the host list; `first_hosts_interval` until a read has succeeded.
  time_ms hosts_interval{5000};
  time_ms first_hosts_interval{500};
};

/// \brief Sends and receives datagrams between entry hosts and keeps the list of these hosts. A
/// datagram may be lost, duplicated or late, and its bytes are not trusted.
class peer_channel {
 public:
  /// \brief Handles the bytes of a message; returns false when they are invalid.
  using handler = std::function<bool(std::string_view bytes)>;

  /// \param clocks  receives the wall clock times in messages of other hosts
  peer_channel(host_entry self, host_list& hosts, fleet_clock& clocks,
               const peer_channel_options& options, entry_faults& faults, structured_log& log);
  peer_channel(const peer_channel&) = delete;
  peer_channel& operator=(const peer_channel&) = delete;
  ~peer_channel();

  /// \brief Sets the handler for messages of a kind. Must be called before `start`; the handler
  /// runs on the channel's thread.
  void on(peer_message kind, handler take);
  /// \brief Sets the listener for changes of the host list. Must be called before `start`; the
  /// listener runs on a thread of the channel.
  void on_hosts(std::function<void()> listener) { hosts_changed_ = std::move(listener); }
  void start();
  void stop() noexcept;

  /// \brief Sends a message; drops it when that fails.
  void send(const peer& to, peer_message kind, std::string_view bytes);
  /// \returns false when no host of that name is known
  bool send(const std::string& host, peer_message kind, std::string_view bytes);
  /// \returns all other hosts; some may have stopped
  [[nodiscard]] std::vector<peer> peers() const;
  /// \returns the names of the other hosts in the own data centre
  [[nodiscard]] std::vector<std::string> near_hosts() const;
  /// \returns whether the host list has been read
  [[nodiscard]] bool hosts_known() const noexcept { return hosts_known_; }
  /// \returns whether another host is in the own data centre
  [[nodiscard]] bool near(const std::string& host) const;
  [[nodiscard]] const host_entry& self() const noexcept { return self_; }

 private:
  [[nodiscard]] std::optional<peer> find_peer(const std::string& host) const;
  void receive();
  void take(std::string_view bytes, const Poco::Net::SocketAddress& from);
  void read_hosts();
  void refresh_hosts();
  void report_faults(const host_listing& listing);

  host_entry self_;
  host_list& hosts_;
  fleet_clock& clocks_;
  peer_channel_options options_;
  entry_faults& faults_;
  structured_log& log_;
  Poco::Net::DatagramSocket socket_;
  std::map<peer_message, handler> handlers_;
  mutable ordered_mutex mutex_{lock_rank::membership};
  stoppable_pause pauses_;
  std::vector<peer> peers_;
  std::set<std::string> unusable_hosts_; ///< keys of invalid entries at the last read
  bool list_reachable_{true};
  std::atomic<bool> hosts_known_{false};
  std::function<void()> hosts_changed_;
  std::thread receiver_;
  std::thread reader_;
};

} // namespace sedgechute
