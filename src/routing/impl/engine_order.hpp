#pragma once

#include "routing/impl/endpoint_info.hpp"

#include <string>
#include <vector>

namespace sedgechute {

/// \brief An item that an engine can load: a model at a version, or an adapter for it.
struct loadable {
  model_version model;
  std::string adapter; ///< empty for the model itself

  auto operator<=>(const loadable&) const = default;
};

/// \returns "model@version" or "model@version+adapter"
[[nodiscard]] std::string to_string(const loadable& item);

/// \brief Kind of an order to an engine.
enum class order_action { load, unload, role };

template <>
struct enum_names<order_action> {
  static constexpr auto entries = enum_table<order_action>({{order_action::load, "load"},
                                                            {order_action::unload, "unload"},
                                                            {order_action::role, "role"}});
};

/// \brief Progress of an order.
enum class order_state {
  sent,      ///< in flight; resent with the same id until the engine reports the effect
  done,      ///< the engine's report shows the effect
  failed,    ///< the engine refused or failed; planned again after `planner_policy::retry_after`
  fenced,    ///< the engine has seen a newer epoch: another host decides now
  abandoned, ///< the engine is gone, or the order was never delivered
};

template <>
struct enum_names<order_state> {
  static constexpr auto entries = enum_table<order_state>({{order_state::sent, "sent"},
                                                           {order_state::done, "done"},
                                                           {order_state::failed, "failed"},
                                                           {order_state::fenced, "fenced"},
                                                           {order_state::abandoned, "abandoned"}});
};

/// \brief One order to one engine.
struct engine_order {
  std::uint64_t id{}; ///< the same for each resend
  std::uint64_t fencing{};
  endpoint_id endpoint;
  order_action action{order_action::load};
  loadable item;                          ///< for load and unload
  endpoint_role role{endpoint_role::any}; ///< for role
  std::string why;                        ///< for operators: the reason with its figures
};

/// \brief An order and its progress.
struct order_record {
  engine_order order;
  order_state state{order_state::sent};
  bool answered{}; ///< the engine answered `done`, its report does not show the effect yet
  time_ms first_sent;
  time_ms last_sent;
  time_ms ended;
};

/// \brief State of an engine as input to the planner.
struct engine_view {
  endpoint_id endpoint;
  data_centre_id data_centre;
  bool usable{true}; ///< neither leaving nor unreachable
  std::vector<loadable> held;
  endpoint_role role{endpoint_role::any};
  double load{}; ///< requests per place
};

/// \brief Number of engines of a pool that should hold an item, from settings and demand.
struct item_goal {
  loadable item;
  std::uint32_t replicas{1};
};

/// \brief Desired state of a pool.
struct pool_goal {
  std::vector<item_goal> items; ///< every item listed in the settings; others are surplus
  bool honours_fencing{};
  std::uint32_t prefill_engines{}; ///< 0 if the pool has no separate roles
};

/// \brief Demand for one item, in tokens per second.
struct item_demand {
  loadable item;
  double wanted{};
};

/// \returns replicas for each item: `min_replicas` each, the remaining places by demand
/// \param places  number of items that all usable engines together can hold
[[nodiscard]] std::vector<item_goal> goals_by_demand(std::span<const item_demand> demand,
                                                     std::uint32_t engines, std::uint32_t places,
                                                     std::uint32_t min_replicas);

/// \returns number of engines, out of `engines`, for prefill; at least one for each role, or 0 if
/// the roles cannot be separated
/// \param read, written  prompt and output tokens demanded per second
/// \param read_rate, write_rate  tokens per second of one engine
[[nodiscard]] std::uint32_t prefill_goal(std::uint32_t engines, double read, double written,
                                         double read_rate, double write_rate);

} // namespace sedgechute
