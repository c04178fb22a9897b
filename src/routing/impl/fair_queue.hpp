#pragma once

#include "routing/impl/queued_work.hpp"
#include "routing/impl/slot_heap.hpp"
#include "routing/impl/team_limits.hpp"
#include "routing/impl/token_bucket.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>
#include <vector>

namespace sedgechute {

/// \brief Order of requests within a team, and bounds of the retry-after hint.
struct queue_policy {
  /// A class that has waited this long gets at least `aged_share` of the team's service, even if
  /// more urgent work waits.
  std::array<time_ms, work_class_count> aging_delay{time_ms{0}, time_ms{3000}, time_ms{10000}};
  double aged_share{0.25};
  time_ms min_retry_after{1000};
  time_ms max_retry_after{60000};
};

/// \brief Queue of this host's requests for one endpoint pool. Between teams it applies start-time
/// fair queueing, weighted and measured in tokens. Within a team it orders by class, with a minimum
/// share for classes that have waited long; within a class by deadline. It is work-conserving: no
/// service is reserved for a team without waiting requests.
///
/// Not thread-safe; needs a lock of rank `queues`.
class fair_queue {
 public:
  explicit fair_queue(queue_policy policy = {});

  /// \brief Sets a team's share and limits; a team never set has weight 1 and no limits.
  void set_team(const team_id& team, const team_limits& limits, time_ms now);

  /// \brief Sets a team's share of this host's service, as planned over all hosts.
  /// \param fraction  fraction of the team's limits that this host may use
  /// \param excess    how far the team exceeds its share of an overloaded pool, 0..1
  void set_share(const team_id& team, double weight, double fraction, time_ms now,
                 double excess = 0.0);

  /// \brief Sets how many requests this host may have at the pool's endpoints at once.
  void set_credit(double slots) noexcept { credit_ = slots; }

  /// \returns whether one more request may start within `part` of this host's credit
  [[nodiscard]] bool within_credit(double part = 1.0) const noexcept {
    return static_cast<double>(running_) < credit_ * part;
  }

  /// \brief Admits a request, or refuses it with a reason and a retry-after hint.
  [[nodiscard]] admission enqueue(const team_id& team, const queued_work& work, time_ms now);

  /// \brief Sets the fraction of the pool, 0..1, that teams within their share use while others
  /// exceed theirs.
  void set_entitled_part(double part) noexcept { entitled_part_ = part; }
  [[nodiscard]] double entitled_part() const noexcept { return entitled_part_; }

  /// \returns the request that `dequeue` would start, or nothing if none may start
  [[nodiscard]] std::optional<queue_head> head(time_ms now, const queue_filter& filter = {});

  /// \returns the ticket of `head` with the default filter
  [[nodiscard]] std::optional<std::uint64_t> peek(time_ms now);

  /// \brief Starts the next request; the team is charged its expected cost.
  [[nodiscard]] std::optional<work_grant> dequeue(time_ms now, const queue_filter& filter = {});

  /// \brief Returns a started request to the queue with its original arrival time and undoes its
  /// charge.
  void put_back(const work_grant& grant, time_ms deadline, time_ms now);

  /// \brief Corrects the charge of a running request to a newer estimate of its cost.
  void adjust(work_grant& grant, double cost, time_ms now);

  /// \brief Ends a started request and charges its actual cost.
  void settle(const work_grant& grant, double cost, time_ms now);

  /// \brief Removes a waiting request.
  /// \returns whether the ticket was waiting
  bool cancel(std::uint64_t ticket);

  /// \brief Removes the requests whose deadline has passed.
  /// \returns their tickets
  [[nodiscard]] std::vector<std::uint64_t> expire(time_ms now);

  /// \returns the expected queueing time of a new request of this team and class
  [[nodiscard]] time_ms expected_wait(const team_id& team, work_class kind, time_ms now) const;

  /// \returns the team's average output for the class in tokens, at most `bound`; `bound` if
  /// unknown
  [[nodiscard]] double expected_output(const team_id& team, work_class kind, double bound) const;

  /// \brief Updates the average with the output of a response that was not cut short.
  void learn_output(const team_id& team, work_class kind, double output);

  [[nodiscard]] queue_figures figures() const noexcept;

  /// \brief One team's queued, running and total requests on this host.
  struct team_figures {
    team_id team;
    double weight{};
    std::size_t queued{};
    double queued_cost{};
    double urgent_cost{}; ///< part of `queued_cost` that is not long_running
    std::size_t running{};
    double started_cost{}; ///< total since the host started, corrected to actual costs
    double arrived_cost{}; ///< total since the host started, refused requests included
  };

  /// \returns figures of every team that was configured or sent a request
  [[nodiscard]] std::vector<team_figures> teams() const;

 private:
  struct item {
    queued_work work;
    std::uint32_t team{};
    time_ms arrived;
    std::uint64_t sequence{}; ///< 0 when the slot is free
  };

  /// Element of a heap; stale once the item's sequence differs.
  struct entry {
    time_ms deadline;
    std::uint64_t sequence{};
    std::uint32_t item{};
  };

  struct class_queue {
    std::vector<entry> heap; ///< earliest deadline first
    std::size_t waiting{};
    double waiting_cost{};
    time_ms waiting_since;   ///< when the class last became non-empty
    double deficit{};        ///< deficit in tokens from service to other classes of the team
    double average_output{}; ///< moving average; 0 if unknown
  };

  struct team_state {
    team_id id;
    team_limits limits;
    token_bucket cost_rate;
    token_bucket request_rate;
    double weight{1.0};
    double excess{};
    double finish{}; ///< virtual finish time of the team's charged work
    std::size_t queued{};
    double queued_cost{};
    std::size_t running{};
    double started_cost{};
    double arrived_cost{};
    std::array<class_queue, work_class_count> classes;
  };

  [[nodiscard]] std::uint32_t slot_of(const team_id& team);
  [[nodiscard]] const team_state* find(const team_id& team) const;
  void apply_rates(team_state& team, time_ms now);
  [[nodiscard]] admission refuse(error_kind kind, time_ms retry_after) const noexcept;
  [[nodiscard]] admission check(const team_state& team, const queued_work& work, time_ms now) const;
  [[nodiscard]] time_ms wait_of(const team_state& team, work_class kind) const noexcept;
  void insert(std::uint32_t slot, const queued_work& work, time_ms arrived, time_ms now);
  void remove_item(std::uint32_t index);
  void update_ready(std::uint32_t slot);
  [[nodiscard]] std::optional<std::uint32_t> next_team(const queue_filter& filter) const;
  void change_weight(team_state& team, double weight) noexcept;
  void pop_stale(std::vector<entry>& heap) const;
  void compact_deadlines();
  [[nodiscard]] std::size_t next_class(team_state& team, work_class last, time_ms now);
  void update_deficits(team_state& team, std::size_t served, double cost) const noexcept;
  void note_service(double cost, time_ms now) noexcept;

  queue_policy policy_;
  absl::flat_hash_map<team_id, std::uint32_t> slots_;
  std::vector<team_state> teams_;
  std::vector<item> items_;
  std::vector<std::uint32_t> free_items_;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> tickets_;
  std::vector<entry> deadlines_;
  /// Per urgency, the teams that may start work of this class or a more urgent one.
  std::array<slot_heap, urgency_count> ready_;
  double entitled_part_{};
  double virtual_time_{};
  double queued_weight_{};
  std::uint64_t sequence_{};
  std::size_t queued_{};
  double queued_cost_{};
  std::size_t running_{};
  double running_cost_{};
  double credit_{1e9};
  double rate_{};
  double window_cost_{};
  time_ms window_start_;
  bool window_open_{};
};

/// \returns this host's part of a fleet-wide limit, at least 1
[[nodiscard]] double host_limit(double limit, double fraction) noexcept;

} // namespace sedgechute
