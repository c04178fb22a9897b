#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/content_guard.hpp"
#include "relay/impl/load_exchange.hpp"
#include "relay/impl/peer_channel.hpp"
#include "relay/impl/quarantine_log.hpp"

#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace sedgechute {

struct quarantine_exchange_options {
  report_pacing pacing{.min_interval = time_ms{50}}; ///< of messages with own evidence
  /// Time between messages with all that this host knows, which reach hosts that missed news.
  time_ms snapshot_interval{1000};
  std::size_t snapshot_recipients{2}; ///< drawn anew each time
  std::size_t max_datagrams{4};       ///< for one recipient at a time
  time_ms read_interval{2000};        ///< between reads of the log
  time_ms retry_pause{300};           ///< after a call of the log that failed
};

/// \brief Exchanges evidence and verdicts on contents with the other hosts, and records verdicts.
class quarantine_exchange {
 public:
  /// \param channel  must not have been started
  quarantine_exchange(content_guard& guard, peer_channel& channel, quarantine_log& log,
                      const quarantine_exchange_options& options, const clock& time,
                      entry_faults& faults);
  quarantine_exchange(const quarantine_exchange&) = delete;
  quarantine_exchange& operator=(const quarantine_exchange&) = delete;
  ~quarantine_exchange();

  void start();
  void stop() noexcept;

 private:
  [[nodiscard]] bool take(std::string_view bytes);
  [[nodiscard]] bool take_parts(std::string_view bytes);
  void send_to_all(peer_message kind, const std::vector<std::string>& messages);
  void send_messages();
  void send_snapshot();
  void keep_records();
  void read_records();
  void take_page(const quarantine_page& page);
  void write_records();

  content_guard& guard_;
  peer_channel& channel_;
  quarantine_log& records_;
  quarantine_exchange_options options_;
  const clock& time_;
  entry_faults& faults_;
  random_source random_{random_source::from_system()};
  stoppable_pause pauses_;
  bool records_known_{false}; ///< the log has been read from its start
  std::uint64_t records_end_{0};
  std::thread sender_;
  std::thread keeper_;
};

} // namespace sedgechute
