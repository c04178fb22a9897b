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

/// \brief How the queue orders a team's own work.
struct queue_policy {
  /// After this wait a class gets at least `aged_share` of the team's service, whatever comes
  /// before it.
  std::array<time_ms, work_class_count> patience{time_ms{0}, time_ms{3000}, time_ms{10000}};
  double aged_share{0.25};
  time_ms least_retry_after{1000};
  time_ms most_retry_after{60000};
};

/// \brief The requests of one endpoint pool that wait on this host. Between teams: start-time fair
/// queueing by weight in tokens. Within a team: class, with a floor for classes that waited long;
/// within a class: deadline. Work-conserving: a team with work is never passed over for one
/// without.
///
/// Not thread-safe; needs a lock of rank `queues`.
class fair_queue {
 public:
  explicit fair_queue(queue_policy policy = {});

  /// \brief Sets a team's share and limits; a team never set has weight 1 and no limits.
  void set_team(const team_id& team, const team_limits& limits, time_ms now);

  /// \brief Sets a team's share of this host's service, as planned over all hosts.
  /// \param fraction  this host's part of the team's limits
  /// \param excess    how far the team goes beyond its share of a pool that is short, 0..1
  void set_share(const team_id& team, double weight, double fraction, time_ms now,
                 double excess = 0.0);

  /// \brief Requests that this host may have at the pool's endpoints at once.
  void set_credit(double slots) noexcept { credit_ = slots; }

  /// \returns whether one more may start without borrowing from other hosts.
  [[nodiscard]] bool within_credit(double part = 1.0) const noexcept {
    return static_cast<double>(running_) < credit_ * part;
  }

  /// \brief Takes a request in, or says why not and when to come back.
  [[nodiscard]] admission enqueue(const team_id& team, const queued_work& work, time_ms now);

  /// \brief Part of the pool, 0..1, that teams within their share use while others go beyond
  /// theirs.
  void set_entitled_part(double part) noexcept { entitled_part_ = part; }
  [[nodiscard]] double entitled_part() const noexcept { return entitled_part_; }

  /// \returns the request that `dequeue` would start, if any may start
  [[nodiscard]] std::optional<queue_head> head(time_ms now, const queue_filter& filter = {});

  /// \returns the ticket of `head` among all classes
  [[nodiscard]] std::optional<std::uint64_t> peek(time_ms now);

  /// \brief Starts the next request; the team is charged its expected cost.
  [[nodiscard]] std::optional<work_grant> dequeue(time_ms now, const queue_filter& filter = {});

  /// \brief Puts a started request back, first in its class, as if it had not been started.
  void put_back(const work_grant& grant, time_ms deadline, time_ms now);

  /// \brief Corrects what a running request is charged, as soon as more is known.
  void adjust(work_grant& grant, double cost, time_ms now);

  /// \brief Ends a started request with its real cost.
  void settle(const work_grant& grant, double cost, time_ms now);

  /// \returns whether the ticket was waiting
  bool cancel(std::uint64_t ticket);

  /// \returns tickets that can no longer start in time; they are out of the queue
  [[nodiscard]] std::vector<std::uint64_t> expire(time_ms now);

  /// \returns the wait that a request of this team, class and cost would have now
  [[nodiscard]] time_ms expected_wait(const team_id& team, work_class kind, time_ms now) const;

  /// \returns the team's usual output for the class, at most `bound` tokens
  [[nodiscard]] double expected_output(const team_id& team, work_class kind, double bound) const;

  /// \brief Learns from an answer that ended by itself.
  void learn_output(const team_id& team, work_class kind, double output);

  [[nodiscard]] queue_figures figures() const noexcept;

  /// \brief What one team has, did and wants here.
  struct team_figures {
    team_id team;
    double weight{};
    std::size_t queued{};
    double queued_cost{};
    double urgent_cost{}; ///< the part of it that is not long_running
    std::size_t running{};
    double started_cost{}; ///< since the start of the host, corrected by real costs
    double arrived_cost{}; ///< since the start of the host, what was refused included
  };

  /// \returns the teams that have work here or ever had
  [[nodiscard]] std::vector<team_figures> teams() const;

 private:
  struct item {
    queued_work work;
    std::uint32_t team{};
    time_ms arrived;
    std::uint64_t sequence{}; ///< 0 when the slot is free
  };

  /// One place in a heap; void once its item's sequence differs.
  struct entry {
    time_ms deadline;
    std::uint64_t sequence{};
    std::uint32_t item{};
  };

  struct class_queue {
    std::vector<entry> heap; ///< earliest deadline first
    std::size_t waiting{};
    double waiting_cost{};
    time_ms waiting_since; ///< since when there has always been work
    double owed{};         ///< cost due to this class for having been passed over
    double usual_output{}; ///< moving average; 0 when not known yet
  };

  struct team_state {
    team_id id;
    team_limits limits;
    token_bucket cost_rate;
    token_bucket request_rate;
    double weight{1.0};
    double excess{};
    double finish{}; ///< virtual time up to which the team is charged
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
  void take_out(std::uint32_t index);
  void offer(std::uint32_t slot);
  [[nodiscard]] std::optional<std::uint32_t> next_team(const queue_filter& filter) const;
  void change_weight(team_state& team, double weight) noexcept;
  void drop_void(std::vector<entry>& heap) const;
  void compact_deadlines();
  [[nodiscard]] std::size_t next_class(team_state& team, work_class last, time_ms now);
  void pay_owed(team_state& team, std::size_t served, double cost) const noexcept;
  void note_service(double cost, time_ms now) noexcept;

  queue_policy policy_;
  absl::flat_hash_map<team_id, std::uint32_t> slots_;
  std::vector<team_state> teams_;
  std::vector<item> items_;
  std::vector<std::uint32_t> free_items_;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> tickets_;
  std::vector<entry> deadlines_;
  /// By urgency: teams that may start work of this class or a more urgent one.
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

/// \returns this host's part of a limit that is shared by hosts
[[nodiscard]] double queue_part(double limit, double fraction) noexcept;

} // namespace sedgechute
