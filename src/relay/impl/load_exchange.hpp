#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/peer_channel.hpp"

#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Pace of messages that go to many hosts.
struct report_pacing {
  time_ms min_interval; ///< between messages
  /// To all hosts together; with many hosts the time between messages grows instead.
  std::size_t max_datagrams_per_second{400};
};

struct load_exchange_options {
  /// The interval is short because a report helps other hosts to avoid an engine only while the
  /// engine still prefills the reported prompt.
  report_pacing pacing{.min_interval = time_ms{20}};
  /// Time between full reports, which correct lost datagrams.
  time_ms whole_interval{1000};
  /// From this number of other hosts on, only those of the own data centre get reports, so that the
  /// number of messages does not grow with the square of the fleet.
  std::size_t max_recipients{16};
};

/// \returns the time between messages to `recipients` hosts
[[nodiscard]] time_ms report_spacing(const report_pacing& pacing, std::size_t recipients) noexcept;

/// \brief Sends this host's use of endpoints to the other hosts and receives theirs. Reports are
/// hints: a wrong or missing one only makes a placement worse.
class load_exchange {
 public:
  /// \param channel  must not have been started
  load_exchange(std::uint64_t incarnation, peer_channel& channel, endpoint_directory& endpoints,
                const load_exchange_options& options, const clock& time);
  load_exchange(const load_exchange&) = delete;
  load_exchange& operator=(const load_exchange&) = delete;
  ~load_exchange();

  void start();
  void stop() noexcept;

 private:
  [[nodiscard]] bool take_report(std::string_view bytes);
  void send_reports();
  void send_all(const std::vector<use_entry>& entries,
                const std::vector<prefix_location>& prefix_locations, bool whole);
  [[nodiscard]] std::vector<peer> recipients() const;

  std::uint64_t incarnation_;
  peer_channel& channel_;
  endpoint_directory& endpoints_;
  load_exchange_options options_;
  const clock& time_;
  stoppable_pause pauses_;
  std::uint32_t number_{0};
  std::thread sender_;
};

} // namespace sedgechute
