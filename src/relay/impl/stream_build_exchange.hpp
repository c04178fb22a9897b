#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/peer_channel.hpp"
#include "relay/impl/stream_build_codec.hpp"
#include "relay/impl/stream_builds.hpp"

#include <condition_variable>
#include <map>
#include <thread>
#include <vector>

namespace sedgechute {

struct stream_build_exchange_options {
  std::size_t holders{4};       ///< of each record
  time_ms repeat_interval{100}; ///< records are sent once more after so long
  time_ms expire_interval{1000};
  /// Time for which the hosts of an earlier list are still asked: other hosts may have recorded
  /// streams there.
  time_ms earlier_hosts_kept{30000};
  build_lookup_options lookup;
};

/// \brief Records at a few hosts which build began each stream, and asks them. Thread-safe.
class stream_build_exchange {
 public:
  /// \param channel  must not have been started
  stream_build_exchange(peer_channel& channel, const stream_build_exchange_options& options,
                        const clock& time);
  stream_build_exchange(const stream_build_exchange&) = delete;
  stream_build_exchange& operator=(const stream_build_exchange&) = delete;
  ~stream_build_exchange();

  void start();
  void stop() noexcept;

  /// \brief Takes the host list of the channel; to be called when it has changed.
  void update_hosts();
  /// \brief Sends a record to its holders, before the caller receives the first event.
  void record(const stream_record& begun);
  /// \brief Finds the build that began a stream; asks other hosts where this one does not know it.
  [[nodiscard]] stream_build find(stream_key stream);
  /// \brief Sends all records to the hosts that hold them once this one has stopped.
  void hand_over();
  /// \returns the number of records that this host holds
  [[nodiscard]] std::size_t records() const;

 private:
  [[nodiscard]] bool take(std::string_view bytes);
  void take_records(const std::vector<stream_record>& records);
  void answer(const build_query& query);
  void take_answer(const build_answer& answer);
  [[nodiscard]] std::vector<std::string> holders_to_ask(stream_key stream, time_ms now) const;
  void send(const std::map<std::string, std::vector<stream_record>>& by_host);
  void repeat_records();

  peer_channel& channel_;
  stream_build_exchange_options options_;
  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::queues};
  stream_build_table table_;
  std::vector<record_host> hosts_; ///< with this one
  std::vector<record_host> earlier_hosts_;
  time_ms earlier_until_;
  std::vector<stream_record> to_repeat_;
  std::map<std::uint64_t, build_lookup*> lookups_;
  std::condition_variable_any answered_;
  random_source random_{random_source::from_system()};
  stoppable_pause pauses_;
  std::thread repeater_;
};

} // namespace sedgechute
