#pragma once

#include "admission/admission.hpp"
#include "relay/impl/connection.hpp"
#include "relay/impl/endpoint_directory.hpp"
#include "relay/impl/planned_stop.hpp"
#include "routing/impl/run_durations.hpp"
#include "telemetry/telemetry.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

namespace sedgechute {

/// \brief Lets requests of this host wait until endpoints have free places. Thread-safe.
class place_waits {
 public:
  place_waits(const endpoint_directory& endpoints, metrics& figures, const clock& time)
      : endpoints_{endpoints}, figures_{figures}, time_{time} {}

  /// \brief Holds the place of a request until it counts as load of an endpoint.
  class hold {
   public:
    hold() = default;
    hold(place_waits& in, std::string service) : in_{&in}, service_{std::move(service)} {}
    hold(hold&& other) noexcept
        : in_{std::exchange(other.in_, nullptr)}, service_{std::move(other.service_)} {}
    hold& operator=(hold&&) = delete;
    hold(const hold&) = delete;
    hold& operator=(const hold&) = delete;
    ~hold();

   private:
    place_waits* in_{nullptr};
    std::string service_;
  };

  struct outcome {
    wait_end end{};
    hold held{}; ///< if the request goes on
  };
  struct terms {
    const std::string& service;
    queued_request request;
    time_ms unseen_after;          ///< see `place_gate::enter`
    std::function<void()> on_wait; ///< called if the request has to wait
  };
  /// \param watch  ends the wait when its caller leaves
  /// \param stop   ends all waits once it has begun
  [[nodiscard]] outcome wait(const terms& of, caller_watch& watch, const planned_stop& stop);
  /// \brief Looks for free places, as a request has ended or an endpoint has told its load.
  void note_change(const std::string& service);

  /// \brief Records the time from sending a request until its whole answer.
  void note_run(const std::string& route, time_ms length);
  /// \brief Records the time from sending a request until the first event of its stream.
  void note_begin(const std::string& route, time_ms length);
  /// \returns the usual time until the whole answer; 0 while it is unknown
  [[nodiscard]] time_ms run_time(const std::string& route) const;
  /// \returns the usual time until the first event, or the whole answer where there are no events
  [[nodiscard]] time_ms begin_time(const std::string& route) const;
  /// \returns the `Retry-After` of a refused request, from the rate at which requests go on
  [[nodiscard]] time_ms retry_after(const std::string& service, time_ms earliest, time_ms longest,
                                    double drawn);

 private:
  struct waiter {
    std::condition_variable_any ended;
    std::optional<wait_end> end;
  };
  struct service_state {
    place_gate gate;
    return_schedule returns;
    std::unordered_map<queue_ticket, waiter*> waiters;
  };

  /// \returns the end of the request with ticket 0, if it is among them
  std::optional<wait_end> deliver(service_state& of, const std::vector<place_gate::event>& ended);
  void note_waiting(const std::string& service, const service_state& of);

  const endpoint_directory& endpoints_;
  metrics& figures_;
  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::queues};
  std::unordered_map<std::string, service_state> services_;
  run_durations runs_;
  run_durations begins_;                ///< of streams
  std::atomic<std::size_t> waiting_{0}; ///< of all services
};

} // namespace sedgechute
