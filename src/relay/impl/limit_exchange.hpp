#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/load_exchange.hpp"
#include "relay/impl/peer_channel.hpp"

#include <thread>

namespace sedgechute {

struct limit_exchange_options {
  report_pacing pacing{.min_interval = time_ms{50}}; ///< of messages with what this host heard
  /// Time between messages with all limits that are known here, which reach hosts that missed some.
  time_ms snapshot_interval{1000};
  std::size_t snapshot_recipients{2}; ///< drawn anew each time
};

/// \brief Tells the other hosts which limits endpoints name and which are brittle, and hears it
/// from them.
class limit_exchange {
 public:
  /// \param channel  must not have been started
  limit_exchange(endpoint_directory& endpoints, peer_channel& channel,
                 const limit_exchange_options& options, const clock& time);
  limit_exchange(const limit_exchange&) = delete;
  limit_exchange& operator=(const limit_exchange&) = delete;
  ~limit_exchange();

  void start();
  void stop() noexcept;

 private:
  [[nodiscard]] bool take(std::string_view bytes);
  [[nodiscard]] bool take_brittle(std::string_view bytes);
  void send_messages();
  void send(const std::vector<peer>& to, peer_message kind,
            const std::vector<std::string>& messages);

  endpoint_directory& endpoints_;
  peer_channel& channel_;
  limit_exchange_options options_;
  const clock& time_;
  random_source random_{random_source::from_system()};
  stoppable_pause pauses_;
  std::thread sender_;
};

} // namespace sedgechute
