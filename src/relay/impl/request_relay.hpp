#pragma once

#include "prepaid/prepaid.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/connection_pool.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/fleet_config.hpp"
#include "relay/impl/host_pressure.hpp"
#include "relay/impl/incoming_request.hpp"
#include "relay/impl/planned_stop.hpp"
#include "relay/impl/preparing_requests.hpp"
#include "relay/impl/retry_allowance.hpp"
#include "relay/impl/wire_dialect.hpp"
#include "routing/impl/run_durations.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace sedgechute {

/// \brief What may follow an answer on its caller's connection.
enum class after_answer {
  next_request,
  close, ///< the answer is complete
  abort, ///< it is not, and must not look so
};

struct relay_options {
  retry_bounds retries;
  stop_bounds stop;
  time_ms connect_timeout{300}; ///< to an endpoint; a data centre is at most some ms away
  /// Connections idle for longer are not used again: endpoints close them, and a request that
  /// crosses the close may have run as far as we can tell.
  time_ms most_idle{3500};
  time_ms most_idle_run_once{1500}; ///< the same for requests that must not run twice
  time_ms full_retry_after{500};    ///< told to callers when every endpoint is full
  /// Requests that are open at once. A host that takes more than its processor carries answers all
  /// of them late, and loses them all when it is killed.
  std::size_t most_open{600};
  /// Requests taken and not yet sent to an endpoint; of a team that has its part of them, no more
  /// are taken.
  std::size_t most_preparing{100};
  time_ms overload_retry_after{400}; ///< told to callers beyond that; another host may have room
  retry_hint_options pressure_retry; ///< told while this host is busy; another one has room
  time_ms stop_retry_after{50};      ///< told while this host stops; another one has room
  time_ms budget_retry_after{100};   ///< told when tokens lie with other hosts
  /// Of an endpoint whose request may not be run again; its connection fails long before when the
  /// endpoint or the way to it is gone.
  time_ms longest_silence{60000};
  std::size_t most_reply_head{32768};
  std::size_t most_buffered_body{std::size_t{8} << 20U}; ///< of an answer that is no stream
};

/// \brief Serves requests: finds the route, takes tokens, places, sends, tries again where that is
/// allowed, and gives one whole answer or one truthful refusal. Thread-safe.
class request_relay {
 public:
  struct parts {
    const wire_dialect& dialect;
    endpoint_directory& endpoints;
    budget_manager& budgets;
    const clock& time;
    structured_log& log;
    metrics& figures;
    std::function<config_ptr()> config; ///< in force now; null before the first
    std::function<std::size_t()> hosts; ///< that share bounds of the fleet
    host_pressure pressure{};
  };

  request_relay(parts joined, const relay_options& options);

  [[nodiscard]] after_answer serve(incoming_request& request);

  /// \returns whether one new request is to be refused for the processor's sake
  [[nodiscard]] bool sheds() const { return parts_.pressure.sheds && parts_.pressure.sheds(); }
  /// \brief A request has come.
  void note_request(bool turned_away) const;
  /// \returns whether as many requests are open as this host carries
  [[nodiscard]] bool full() const noexcept { return open_ >= options_.most_open; }
  /// \returns whether any request may be taken without a look at it
  [[nodiscard]] bool has_room() const {
    return !full() && preparing_.total() < options_.most_preparing;
  }
  [[nodiscard]] preparing_requests& preparing() noexcept { return preparing_; }

  /// \brief What a busy host decides about a request of which only the header was looked at.
  struct screening {
    bool taken{true};
    std::string refusal{};           ///< ready to be written
    bool ends_connection{false};     ///< it says so
    preparing_requests::mark mark{}; ///< of one that is taken
  };
  /// \param shed  the processor has no time for it, whichever team it is of
  [[nodiscard]] screening screen(const request_head& head, bool shed);

  /// \returns requests that are being served.
  [[nodiscard]] std::size_t open() const noexcept { return open_; }
  [[nodiscard]] planned_stop& stop() noexcept { return stop_; }
  [[nodiscard]] const planned_stop& stop() const noexcept { return stop_; }

 private:
  friend class request_run;

  [[nodiscard]] double draw();
  [[nodiscard]] error too_many_open() const;
  [[nodiscard]] static error processor_used_up(time_ms retry_after);
  [[nodiscard]] bool may_repeat(const std::string& service);
  void note_first_send(const std::string& service);
  void note_length(const std::string& kind, time_ms length);
  /// \param most  that the request may take
  [[nodiscard]] run_forecast forecast(const std::string& kind, time_ms most) const;

  parts parts_;
  relay_options options_;
  connection_pool connections_;
  planned_stop stop_;
  mutable ordered_mutex mutex_{lock_rank::requests};
  retry_allowance repeats_;
  run_durations lengths_;
  random_source random_{random_source::from_system()};
  std::atomic<std::size_t> open_{0};
  preparing_requests preparing_;
};

/// \brief A refusal of our own, ready to be written.
[[nodiscard]] std::string refusal_text(const wire_dialect& dialect, const error& reason,
                                       const std::string& attempt, bool last_on_connection);

} // namespace sedgechute
