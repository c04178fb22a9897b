#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/peer_channel.hpp"

#include <thread>
#include <vector>

namespace sedgechute {

struct load_exchange_options {
  /// Changes are gathered for so long. A report keeps other hosts' prompts away from an engine only
  /// while it still reads this one.
  time_ms gather{20};
  /// To all hosts together; in a large data centre reports become rarer instead.
  std::size_t most_datagrams_a_second{400};
  /// Everything is told anew after so long: a datagram may have been lost.
  time_ms whole_interval{1000};
  /// With more hosts than this only those of the own data centre are told, so that messages do not
  /// grow with the square of the fleet.
  std::size_t most_told{16};
};

/// \brief How long changes are gathered when so many hosts are told.
[[nodiscard]] time_ms gather_span(const load_exchange_options& options, std::size_t told) noexcept;

/// \brief Tells the other hosts what this one has at endpoints, and takes what they tell.
/// Everything told is a hint: a wrong or missing report only makes a choice worse.
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
  void send_all(const std::vector<use_entry>& entries, const std::vector<start_sighting>& sightings,
                bool whole);
  [[nodiscard]] std::vector<peer> told() const;

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
