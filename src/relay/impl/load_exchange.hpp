#pragma once

#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/host_list.hpp"
#include "telemetry/telemetry.hpp"

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <condition_variable>
#include <thread>
#include <vector>

namespace sedgechute {

struct load_exchange_options {
  /// Changes are gathered for so long. A prompt of 7,000 tokens takes an engine 100 ms to read; a
  /// report that comes within that time still keeps the next prompt away.
  time_ms gather{60};
  /// Everything is told anew after so long: a datagram may have been lost.
  time_ms whole_interval{1000};
  /// The list of hosts is read anew after so long.
  time_ms hosts_interval{5000};
  /// With more hosts than this only those of the own data centre are told, so that messages do not
  /// grow with the square of the fleet.
  std::size_t most_told{16};
};

/// \brief Tells the other hosts what this one has at endpoints, and takes what they tell.
/// Everything told is a hint: a wrong or missing report only makes a choice worse.
class load_exchange {
 public:
  load_exchange(host_entry self, std::uint64_t incarnation, host_list& hosts,
                endpoint_directory& endpoints, const load_exchange_options& options,
                const clock& time, structured_log& log);
  load_exchange(const load_exchange&) = delete;
  load_exchange& operator=(const load_exchange&) = delete;
  ~load_exchange();

  void start();
  void stop() noexcept;

 private:
  void send_reports();
  void receive_reports();
  void read_hosts();
  void refresh_hosts();
  void send_all(const std::vector<use_entry>& entries, const std::vector<start_sighting>& sightings,
                bool whole);
  void send(const use_report& report);
  [[nodiscard]] std::vector<Poco::Net::SocketAddress> told() const;
  /// \returns false when it is time to stop
  [[nodiscard]] bool pause(time_ms span);

  host_entry self_;
  std::uint64_t incarnation_;
  host_list& hosts_;
  endpoint_directory& endpoints_;
  load_exchange_options options_;
  const clock& time_;
  structured_log& log_;
  Poco::Net::DatagramSocket socket_;
  mutable ordered_mutex mutex_{lock_rank::membership};
  std::condition_variable_any wake_;
  std::vector<Poco::Net::SocketAddress> told_;
  bool list_reachable_{true};
  std::uint32_t number_{0};
  std::atomic<bool> stopping_{false};
  std::thread sender_;
  std::thread receiver_;
  std::thread reader_;
};

} // namespace sedgechute
