#pragma once

#include "admission/impl/admission_queue.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief What a host knows of the capacity of a service's endpoints.
struct service_capacity {
  std::size_t usable{};                ///< endpoints that requests may be sent to
  std::size_t free{};                  ///< places for further requests
  std::optional<time_ms> report_age{}; ///< of the youngest load report; nothing: there is none
};

/// \brief How the wait for a place ends.
enum class wait_end {
  granted,    ///< a place is free
  unseen,     ///< none has been seen for long, and the endpoints' own queues decide
  unreported, ///< no endpoint is usable or has lately told its load
  late,       ///< refused: it cannot be served in time
  full,       ///< refused: those that wait go before it
  yielded,    ///< refused: it has made room for another request
  left,       ///< its caller has left
  stopping,   ///< refused: the host stops
};

template <>
struct enum_names<wait_end> {
  static constexpr auto entries = enum_table<wait_end>({{wait_end::granted, "granted"},
                                                        {wait_end::unseen, "unseen"},
                                                        {wait_end::unreported, "unreported"},
                                                        {wait_end::late, "late"},
                                                        {wait_end::full, "full"},
                                                        {wait_end::yielded, "yielded"},
                                                        {wait_end::left, "left"},
                                                        {wait_end::stopping, "stopping"}});
};

/// \returns whether a request is sent after such an end
[[nodiscard]] constexpr bool goes_on(wait_end end) noexcept {
  return end == wait_end::granted || end == wait_end::unseen || end == wait_end::unreported;
}

struct place_gate_options {
  admission_queue_options queue{};
  /// Age at which reports no longer show what other hosts send. Queues of endpoints with 15 to 60
  /// ms of work per request are replaced within this time.
  time_ms max_report_age{200};
};

/// \brief Lets requests of a service wait while its endpoints have no free place. A request that
/// goes on holds its place until `note_placed`, when the endpoint's load includes it. Not
/// thread-safe.
class place_gate {
 public:
  struct event {
    queue_ticket ticket{};
    wait_end end{};
  };
  struct entered {
    queue_ticket ticket{};    ///< 0: it does not wait
    std::vector<event> ended; ///< includes the request itself, with ticket 0, if it does not wait
  };

  explicit place_gate(const place_gate_options& options = {})
      : options_{options}, queue_{options.queue} {}

  /// \param unseen_after  time without any free place after which the next request goes on
  ///   nevertheless
  [[nodiscard]] entered enter(const queued_request& request, time_ms unseen_after,
                              const service_capacity& capacity, time_ms now);
  /// \returns the requests whose wait ends
  [[nodiscard]] std::vector<event> update(const service_capacity& capacity, time_ms now);
  /// \brief Removes a request whose wait ends for another reason.
  void leave(queue_ticket ticket, time_ms now);
  /// \brief Ends the hold of a request that went on.
  void note_placed() noexcept { placing_ -= placing_ > 0 ? 1 : 0; }

  [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }
  [[nodiscard]] std::optional<double> drain_rate() const noexcept { return queue_.drain_rate(); }

 private:
  /// \returns whether the load of the service is known
  [[nodiscard]] bool is_reported(const service_capacity& capacity) const noexcept;
  void end(queue_ticket ticket, wait_end how, std::vector<event>& ended);

  place_gate_options options_;
  admission_queue queue_;
  std::unordered_map<queue_ticket, time_ms> unseen_after_; ///< of those that wait
  std::size_t placing_{0};                                 ///< went on and are not placed yet
  time_ms free_seen_;                                      ///< or since then taken to be misjudged
};

} // namespace sedgechute
