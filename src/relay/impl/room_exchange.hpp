#pragma once

#include "kernel/impl/stoppable_pause.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/peer_channel.hpp"
#include "relay/impl/room_messages.hpp"

#include <condition_variable>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief A host that may arbitrate.
struct arbiter_host {
  std::string name;
  std::string data_centre;
  std::uint64_t hash{}; ///< of the name
};

/// \returns the host that arbitrates for an endpoint: the same on all hosts with the same list
/// (rendezvous hashing), in the endpoint's data centre where it has hosts; nothing for no host
[[nodiscard]] std::optional<std::string> arbiter_of(endpoint_hash affinity,
                                                    std::string_view data_centre,
                                                    const std::vector<arbiter_host>& hosts);

struct room_exchange_options {
  time_ms repeat_after{20}; ///< without an answer
  time_ms patience{60};     ///< for an answer
  time_ms denied_pause{20}; ///< of an endpoint whose arbiter did not answer
  /// Time without any answer after which a host arbitrates no more, and for how long.
  time_ms silent_after{500};
  time_ms silent_pause{3000};
  time_ms renew_interval{400};
  time_ms repeat_interval{50}; ///< of messages about requests that have ended
};

/// \brief Asks the arbiters of brittle endpoints for room and arbitrates for some. Thread-safe.
class room_exchange {
 public:
  /// \param channel  must not have been started
  room_exchange(endpoint_directory& endpoints, peer_channel& channel,
                const room_exchange_options& options, const clock& time);
  room_exchange(const room_exchange&) = delete;
  room_exchange& operator=(const room_exchange&) = delete;
  ~room_exchange();

  void start();
  void stop() noexcept;

  /// \brief Takes the host list of the channel; to be called when it has changed.
  void update_hosts();
  /// \returns nothing when the request may be sent, else how long to ask for no other
  [[nodiscard]] std::optional<time_ms> ask(const placement& place);
  /// \brief Tells the arbiter that the request has ended.
  /// \param refused  by the endpoint
  void end(const placement& place, bool refused);

 private:
  struct waiting_ask {
    bool answered{false};
    time_ms pause; ///< 0: granted
  };
  struct silence {
    time_ms since;
    time_ms until; ///< it does not arbitrate
  };

  [[nodiscard]] bool take(std::string_view bytes);
  void answer(const room_question& question);
  void take_answer(const room_answer& answer);
  [[nodiscard]] std::optional<std::string> find_arbiter(endpoint_hash affinity,
                                                        const data_centre_id& data_centre);
  [[nodiscard]] std::optional<time_ms> ask_host(const std::string& arbiter, const room_ask& ask);
  void note_silent(const std::string& host, time_ms now);
  void send_messages();
  void repeat_ends();
  void renew_grants();

  endpoint_directory& endpoints_;
  peer_channel& channel_;
  room_exchange_options options_;
  const clock& time_;
  std::uint64_t self_;
  ordered_mutex mutex_{lock_rank::queues};
  std::vector<arbiter_host> hosts_; ///< with this one
  time_ms started_;
  std::map<std::string, silence> silent_;
  std::map<std::string, recent_ends> ends_; ///< by arbiter
  std::map<grant_id, waiting_ask*> asks_;
  std::condition_variable_any answered_;
  stoppable_pause pauses_;
  std::thread sender_;
};

/// \brief Port to the arbiters of brittle endpoints.
struct room_port {
  /// \returns nothing when the request may be sent, else how long to ask for no other
  std::function<std::optional<time_ms>(const placement&)> ask;
  std::function<void(const placement&, bool refused)> end;
};

} // namespace sedgechute
