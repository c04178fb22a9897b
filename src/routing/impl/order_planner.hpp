#pragma once

#include "routing/impl/engine_order.hpp"
#include "routing/impl/token_bucket.hpp"

#include <deque>
#include <map>
#include <span>

namespace sedgechute {

/// \brief Rates and delays of orders to engines.
struct planner_policy {
  std::uint32_t models_per_engine{2};
  double loads_per_s{0.2}; ///< rate at which this pool may fetch from the weight store
  double load_burst{2.0};
  std::uint32_t max_open{4};  ///< orders in flight at once
  time_ms repeat_after{5000}; ///< delay until an unanswered order is resent
  /// An order answered `done` is resent if no report shows its effect by then.
  time_ms report_timeout{30000};
  time_ms retry_after{30000};      ///< backoff after a failed order
  time_ms lower_goal_delay{20000}; ///< time that a lower goal must persist before it applies
  std::size_t records_kept{256};
};

/// \brief An engine's answer to an order.
enum class order_answer {
  done,
  failed,
  newer_epoch, ///< the engine has seen a higher fencing number
  rate_limited ///< the weight store is overloaded
};

template <>
struct enum_names<order_answer> {
  static constexpr auto entries =
      enum_table<order_answer>({{order_answer::done, "done"},
                                {order_answer::failed, "failed"},
                                {order_answer::newer_epoch, "newer_epoch"},
                                {order_answer::rate_limited, "rate_limited"}});
};

/// \brief Plans the orders to the engines of one pool, on the host that holds the pool's claim. Not
/// thread-safe.
///
/// Each round derives orders from the difference between the engines' reports and the goal, so the
/// loss of an engine, a message or the former decider needs no recovery of its own.
class order_planner {
 public:
  explicit order_planner(planner_policy policy = {});

  /// \brief Sets the epoch under which this host decides; 0 if it does not.
  void set_epoch(std::uint64_t epoch);

  /// \returns the orders to send now, resends included. Call it about once a second.
  [[nodiscard]] std::vector<engine_order> plan(const pool_goal& goal,
                                               std::span<const engine_view> engines, time_ms now);

  /// \returns orders that change nothing and announce this epoch to engines that have not confirmed
  /// it; for pools whose engines check fencing numbers. Send them before those of `plan`.
  [[nodiscard]] std::vector<engine_order> epoch_announcements(std::span<const engine_view> engines,
                                                              time_ms now);

  /// \brief Applies an engine's answer.
  /// \param retry_after  delay requested by the weight store
  void note_answer(std::uint64_t order, order_answer answer, time_ms retry_after, time_ms now);

  /// \returns the latest orders, oldest first
  [[nodiscard]] const std::deque<order_record>& records() const noexcept { return records_; }
  /// \returns the changes that the last round wanted but withheld, with the reason
  [[nodiscard]] const std::vector<std::string>& withheld() const noexcept { return withheld_; }
  [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }
  [[nodiscard]] const planner_policy& policy() const noexcept { return policy_; }

 private:
  struct engine_state {
    const engine_view* view{};
    std::vector<loadable> held; ///< items after all orders in flight are done
    bool busy{};                ///< has an order in flight
  };

  struct item_state {
    std::uint32_t wanted{}; ///< goal in force
    std::uint32_t lower{};  ///< lower goal that must persist before it applies
    time_ms lower_since;
  };

  struct announcement {
    std::uint64_t order{};
    time_ms sent;
    bool confirmed{};
  };

  [[nodiscard]] std::vector<engine_state> states_of(std::span<const engine_view> engines,
                                                    time_ms now);
  void close_finished(const pool_goal& goal, std::span<const engine_view> engines, time_ms now);
  void update_goals(const pool_goal& goal, time_ms now);
  void plan_loads(const pool_goal& goal, std::vector<engine_state>& engines, time_ms now);
  void make_room(const pool_goal& goal, std::vector<engine_state>& engines, const loadable& item,
                 time_ms now);
  void unload_unlisted(const pool_goal& goal, std::vector<engine_state>& engines, time_ms now);
  [[nodiscard]] bool awaits_other_version(const pool_goal& goal,
                                          const std::vector<engine_state>& engines,
                                          const engine_state& engine, const loadable& old) const;
  void set_roles(const pool_goal& goal, std::vector<engine_state>& engines, time_ms now);
  [[nodiscard]] bool may_order(const endpoint_id& endpoint, order_action action,
                               const loadable& item, time_ms now) const;
  void issue(engine_state& engine, engine_order order, time_ms now);
  [[nodiscard]] std::size_t open_orders() const;
  [[nodiscard]] std::size_t open_orders(order_action action) const;

  planner_policy policy_;
  std::uint64_t epoch_{};
  std::uint64_t next_order_{};
  token_bucket store_;
  time_ms store_backoff_until_;
  std::map<loadable, item_state> items_;
  std::map<endpoint_id, announcement> announced_;
  std::map<std::uint64_t, endpoint_id> unanswered_announcements_; ///< by order id
  std::deque<order_record> records_;
  std::vector<engine_order> due_;
  std::vector<std::string> withheld_;
};

} // namespace sedgechute
