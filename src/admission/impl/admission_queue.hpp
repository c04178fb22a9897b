#pragma once

#include "admission/impl/request_flow.hpp"
#include "kernel/kernel.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief A request that waits for a place at an endpoint.
struct queued_request {
  request_flow flow;
  time_ms arrival;       ///< at the queue
  time_ms deadline;      ///< by which it must be answered
  time_ms service_time;  ///< expected; 0 when it is unknown
  bool returning{false}; ///< was rejected before and comes again

  [[nodiscard]] time_ms latest_start() const noexcept { return deadline - service_time; }
};

using queue_ticket = std::uint64_t;

/// \brief Why a queue does not accept a request.
enum class queue_refusal {
  late, ///< it cannot be served in time
  full, ///< those that wait go before it
};

/// \brief Result of entering a queue: a ticket, or else a refusal.
struct queue_admission {
  std::optional<queue_ticket> ticket{};
  std::optional<queue_refusal> refused{};
  std::optional<queue_ticket> yielded{}; ///< request that left the queue to make room
};

struct admission_queue_options {
  std::size_t max_waiting{128}; ///< each waiting request holds a thread
  time_ms memory{1000};         ///< time constant of the drain rate
};

/// \brief The requests of a service that wait for places at its endpoints. Higher priorities go
/// first, but each priority that waits gets at least a tenth of the service time. Teams of one
/// priority get equal service time. Requests of one team go in the order in which they must start
/// to end in time, returning ones first. Not thread-safe.
class admission_queue {
 public:
  explicit admission_queue(const admission_queue_options& options = {}) : options_{options} {}

  [[nodiscard]] queue_admission enter(const queued_request& request, time_ms now);
  /// \brief Removes the requests that go next.
  /// \param free  number of free places
  [[nodiscard]] std::vector<queue_ticket> next(std::size_t free, time_ms now);
  /// \brief Removes the requests that can no longer be served in time.
  [[nodiscard]] std::vector<queue_ticket> take_late(time_ms now);
  /// \brief Removes a request; none when it has been removed already.
  void leave(queue_ticket ticket, time_ms now);
  /// \returns requests per second that went on while others waited; nothing while too few have
  [[nodiscard]] std::optional<double> drain_rate() const noexcept { return all_.per_second(); }

  struct waiting {
    queue_ticket ticket{};
    queued_request request;
  };
  [[nodiscard]] const std::vector<waiting>& entries() const noexcept { return entries_; }
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  /// \brief Measures the rate at which requests go on while others wait.
  struct drain {
    double served{0};  ///< decaying count of requests that went on
    double busy_ms{0}; ///< decaying time in which requests waited
    time_ms counted;

    void advance(bool waiting, time_ms memory, time_ms now) noexcept;
    [[nodiscard]] std::optional<double> per_second() const noexcept;
  };
  /// State of one priority while its requests wait.
  struct priority_state {
    double credit{};                      ///< service time that it is owed
    double virtual_time{};                ///< of its teams
    std::map<std::string, double> used{}; ///< virtual time until which a team has been served
  };

  void advance(time_ms now);
  [[nodiscard]] std::size_t count(int priority) const noexcept;
  [[nodiscard]] std::size_t count(const request_flow& flow) const noexcept;
  /// \returns the time that a new request is expected to wait, in milliseconds; 0 when unknown
  [[nodiscard]] double expected_wait(const queued_request& request) const;
  /// \returns the index of the request that makes room for a new one; nothing: the new one is
  /// refused
  [[nodiscard]] std::optional<std::size_t> find_yielding(const queued_request& request) const;
  [[nodiscard]] std::optional<std::size_t> choose();
  /// \returns the index of the next request of a priority
  [[nodiscard]] std::size_t first_of(int priority) const;
  void charge(const queued_request& served, bool by_credit);
  void remove(std::size_t index);

  admission_queue_options options_;
  std::vector<waiting> entries_;
  std::map<int, priority_state> priorities_; ///< highest first
  queue_ticket last_{0};
  double usual_cost_{0}; ///< mean service time of a request, in milliseconds
  drain all_;
  std::map<int, drain> drains_; ///< by priority, also of those of which none waits now
};

} // namespace sedgechute
