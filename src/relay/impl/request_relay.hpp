#pragma once

#include "admission/admission.hpp"
#include "prepaid/prepaid.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/connection_pool.hpp"
#include "relay/impl/content_guard.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/fleet_config.hpp"
#include "relay/impl/forward_targets.hpp"
#include "relay/impl/host_pressure.hpp"
#include "relay/impl/incoming_request.hpp"
#include "relay/impl/planned_stop.hpp"
#include "relay/impl/preparing_requests.hpp"
#include "relay/impl/request_admission.hpp"
#include "relay/impl/retry_limiter.hpp"
#include "relay/impl/room_exchange.hpp"
#include "relay/impl/stream_origin.hpp"
#include "relay/impl/wire_dialect.hpp"
#include "routing/impl/run_durations.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief What to do with the caller's connection after an answer.
enum class connection_action {
  next_request,
  close, ///< close in order: the answer is complete
  abort, ///< reset: the answer is incomplete, and the caller must notice
};

struct relay_options {
  retry_bounds retries;
  stop_bounds stop;
  time_ms connect_timeout{300}; ///< to an endpoint; other data centres are at most some ms away
  /// Maximum idle time of a reused connection. Endpoints close idle connections, and a request that
  /// crosses the close has to be treated as one that may have run.
  time_ms max_idle{3500};
  time_ms max_idle_run_once{1500}; ///< the same for requests that must not run twice
  time_ms full_retry_after{500};   ///< `Retry-After` when every endpoint is full
  /// Maximum number of open requests. With more than its processor can handle, a host answers all
  /// of them late, and all are lost if it is killed.
  std::size_t max_open{600};
  std::size_t max_forwarded{300}; ///< open requests that other hosts have forwarded to this one
  int max_hosts_tried{3};         ///< per request that is forwarded
  /// Maximum number of requests in preparation, i.e. not yet sent to an endpoint; beyond it, teams
  /// that have used up their share are refused.
  std::size_t max_preparing{100};
  time_ms overload_retry_after{400}; ///< `Retry-After` beyond that; another host may have capacity
  retry_hint_options
      pressure_retry;              ///< for `Retry-After` while this host's processor is overloaded
  time_ms stop_retry_after{50};    ///< `Retry-After` while this host stops; others have capacity
  time_ms budget_retry_after{100}; ///< `Retry-After` when other hosts hold the tokens
  time_ms event_latency{0}; ///< bound on the delay of a stream's events; 0: not grouped under load
  std::size_t max_reply_head{32768};
  std::size_t max_buffered_body{std::size_t{8} << 20U}; ///< of an answer that is not a stream
  std::size_t max_event{std::size_t{1} << 20U};         ///< of a stream
  std::size_t max_stream{std::size_t{64} << 20U};
  memory_division memory{}; ///< of the bytes of requests and answers
};

/// \brief Serves requests: finds the route, reserves tokens, chooses endpoints, sends, retries
/// where that is allowed, and returns one complete answer or one refusal. Thread-safe.
class request_relay {
 public:
  struct parts {
    const wire_dialect& dialect;
    endpoint_directory& endpoints;
    content_guard& contents;
    budget_manager& budgets;
    const clock& time;
    structured_log& log;
    metrics& figures;
    std::function<config_ptr()> config; ///< returns the one in force; null before the first
    std::function<std::size_t()> hosts; ///< returns the number of hosts that share fleet limits
    host_pressure pressure{};
    std::string region{}; ///< of this host; empty when it is unknown
    stream_build_port builds{};
    room_port room{}; ///< empty: no other host shares the endpoints
  };

  request_relay(parts joined, const relay_options& options);

  [[nodiscard]] connection_action serve(incoming_request& request);

  /// \returns whether the next new request may have to be refused because the processor is
  /// overloaded; `screen` decides
  [[nodiscard]] bool may_shed() const { return admission_.may_shed(parts_.config()); }
  /// \brief Counts a request that arrived.
  void note_request(bool turned_away) const;
  /// \returns whether the maximum number of requests is open
  [[nodiscard]] bool full() const noexcept { return open_ >= options_.max_open; }
  /// \returns whether requests may be accepted without examining them
  [[nodiscard]] bool has_capacity() const {
    return !full() && preparing_.total() < options_.max_preparing;
  }
  [[nodiscard]] preparing_requests& preparing() noexcept { return preparing_; }

  /// \brief Decision about a request by its header alone.
  struct screening {
    bool taken{true};
    std::string refusal{};             ///< complete response if the request is refused
    bool ends_connection{false};       ///< the refusal contains `Connection: close`
    preparing_requests::guard guard{}; ///< counts an accepted request as in preparation
  };
  /// \brief Decides by its header whether a request is accepted on a host under load.
  /// \param shed  `may_shed` was true for it
  /// \param last_on_connection  a refusal ends the connection, as the body has not been read
  [[nodiscard]] screening screen(const request_head& head, bool shed, bool last_on_connection);

  /// \brief Records the refusal of a request whose body does not fit into the memory.
  /// \returns the complete response
  [[nodiscard]] std::string refuse_for_memory(const request_head& head);
  [[nodiscard]] held_bytes& memory() noexcept { return memory_; }
  [[nodiscard]] metrics& figures() noexcept { return parts_.figures; }
  [[nodiscard]] const held_bytes& memory() const noexcept { return memory_; }

  /// \returns the number of requests that are being served
  [[nodiscard]] std::size_t open() const noexcept { return open_; }
  /// \brief Sets the other hosts, to which requests are forwarded while this host reaches no
  /// endpoint of their service.
  void set_hosts(std::vector<forward_target> hosts);
  [[nodiscard]] planned_stop& stop() noexcept { return stop_; }
  [[nodiscard]] const planned_stop& stop() const noexcept { return stop_; }

 private:
  friend class request_run;

  /// \returns why a request is refused by its header; nothing when it is accepted
  [[nodiscard]] std::optional<refusal_cause> screen_cause(const admitted_request& request,
                                                          bool shed);
  void note_refused(const admitted_request& request, refusal_cause cause);
  [[nodiscard]] double draw();
  [[nodiscard]] bool has_other_hosts() const;
  [[nodiscard]] std::optional<forward_target>
  choose_host(const std::string& service, const forward_targets::predicate& allowed);
  void note_forwarded(const std::string& host, const std::string& service, forward_result result);
  [[nodiscard]] error too_many_open() const;
  [[nodiscard]] static error processor_used_up(time_ms retry_after);
  [[nodiscard]] bool has_retry(const std::string& service);
  /// \brief Takes one retry from the budget of a service.
  [[nodiscard]] bool may_retry(const std::string& service);
  void note_first_send(const std::string& service);
  void note_patience(const std::string& route, std::string_view team, time_ms patience);
  [[nodiscard]] std::optional<time_ms> longest_patience(const std::string& route,
                                                        std::string_view team) const;
  /// \returns for how long a stream's next events are collected before they are forwarded
  [[nodiscard]] time_ms event_delay(const route& on) const;
  void note_length(const std::string& kind, time_ms length);
  /// \param most  time until the deadline of the request
  [[nodiscard]] run_forecast forecast(const std::string& kind, time_ms most) const;

  parts parts_;
  relay_options options_;
  connection_pool connections_;
  planned_stop stop_;
  mutable ordered_mutex mutex_{lock_rank::requests};
  retry_limiter retries_;
  forward_targets hosts_;
  run_durations lengths_;
  caller_patience patience_;
  random_source random_{random_source::from_system()};
  std::atomic<std::size_t> open_{0};
  std::atomic<std::size_t> forwarded_open_{0};
  preparing_requests preparing_;
  request_admission admission_;
  held_bytes memory_;
};

/// \returns a refusal by this host as a complete HTTP response
[[nodiscard]] std::string refusal_text(const wire_dialect& dialect, const error& reason,
                                       const std::string& attempt, bool last_on_connection);

} // namespace sedgechute
