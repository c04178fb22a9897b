#pragma once

#include "routing/impl/engine_order.hpp"
#include "routing/impl/token_bucket.hpp"

#include <deque>
#include <map>
#include <span>

namespace sedgechute {

struct planner_policy {
  std::uint32_t models_per_engine{2};
  double loads_per_s{0.2}; ///< what the weight store allows this pool
  double load_burst{2.0};
  std::uint32_t most_open{4};  ///< orders without an answer at once
  time_ms repeat_after{5000};  ///< without an answer
  time_ms shown_within{30000}; ///< a done order is given again if no report shows it by then
  time_ms retry_after{30000};  ///< after a failure
  time_ms settle{20000};       ///< a lower goal must last this long before anything is unloaded
  std::size_t records_kept{256};
};

/// \brief How an engine answered an order.
enum class order_answer {
  done,
  failed,
  newer_epoch, ///< it has seen a higher fencing number
  rate_limited ///< the weight store is busy
};

template <>
struct enum_names<order_answer> {
  static constexpr auto entries =
      enum_table<order_answer>({{order_answer::done, "done"},
                                {order_answer::failed, "failed"},
                                {order_answer::newer_epoch, "newer_epoch"},
                                {order_answer::rate_limited, "rate_limited"}});
};

/// \brief Plans the orders of one pool on the host that decides about it. Not thread-safe.
///
/// Orders are made by comparing what engines report with what is wanted, so losing an engine, a
/// message or the former decider needs no repair of its own: the next round sees the difference.
class order_planner {
 public:
  explicit order_planner(planner_policy policy = {});

  /// \brief The epoch under which this host decides; 0 when it does not.
  void set_epoch(std::uint64_t epoch);

  /// \brief Orders to send now, repeats included. To be called about once a second.
  [[nodiscard]] std::vector<engine_order> plan(const pool_goal& goal,
                                               std::span<const engine_view> engines, time_ms now);

  /// \brief Orders that change nothing and make this epoch known to engines that honour fencing
  /// and have not heard of it. To be sent before those of `plan`.
  [[nodiscard]] std::vector<engine_order> introductions(std::span<const engine_view> engines,
                                                        time_ms now);

  /// \param retry_after  asked for by the weight store
  void note_answer(std::uint64_t order, order_answer answer, time_ms retry_after, time_ms now);

  /// \returns the latest orders with their reasons, oldest first
  [[nodiscard]] const std::deque<order_record>& records() const noexcept { return records_; }
  /// \returns what is wanted but not ordered, and why
  [[nodiscard]] const std::vector<std::string>& withheld() const noexcept { return withheld_; }
  [[nodiscard]] std::uint64_t epoch() const noexcept { return epoch_; }
  [[nodiscard]] const planner_policy& policy() const noexcept { return policy_; }

 private:
  struct engine_state {
    const engine_view* view{};
    std::vector<loadable> held; ///< with open orders as if done
    bool busy{};                ///< has an open order
  };

  struct item_state {
    std::uint32_t wanted{}; ///< goal in force
    std::uint32_t lower{};  ///< lower goal that has to last first
    time_ms lower_since;
  };

  struct introduction {
    std::uint64_t order{};
    time_ms sent;
    bool heard{};
  };

  [[nodiscard]] std::vector<engine_state> states_of(std::span<const engine_view> engines,
                                                    time_ms now);
  void close_finished(const pool_goal& goal, std::span<const engine_view> engines, time_ms now);
  void settle_goals(const pool_goal& goal, time_ms now);
  void fill(const pool_goal& goal, std::vector<engine_state>& engines, time_ms now);
  void make_room(const pool_goal& goal, std::vector<engine_state>& engines, const loadable& item,
                 time_ms now);
  void drop_surplus(const pool_goal& goal, std::vector<engine_state>& engines, time_ms now);
  [[nodiscard]] bool awaits_other_version(const pool_goal& goal,
                                          const std::vector<engine_state>& engines,
                                          const engine_state& engine, const loadable& old) const;
  void set_roles(const pool_goal& goal, std::vector<engine_state>& engines, time_ms now);
  [[nodiscard]] bool may_order(const endpoint_id& endpoint, order_action action,
                               const loadable& item, time_ms now) const;
  void give(engine_state& engine, engine_order order, time_ms now);
  [[nodiscard]] std::size_t open_orders() const;
  [[nodiscard]] std::size_t open_orders(order_action action) const;

  planner_policy policy_;
  std::uint64_t epoch_{};
  std::uint64_t next_order_{};
  token_bucket store_;
  time_ms store_closed_until_;
  std::map<loadable, item_state> items_;
  std::map<endpoint_id, introduction> introduced_;
  std::map<std::uint64_t, endpoint_id> introductions_; ///< unanswered
  std::deque<order_record> records_;
  std::vector<engine_order> due_;
  std::vector<std::string> withheld_;
};

} // namespace sedgechute
