#pragma once

#include "routing/impl/endpoint_info.hpp"

#include <string>
#include <vector>

namespace sedgechute {

/// \brief What an engine may be told to hold: a model at a version, or an adapter for it.
struct loadable {
  model_version model;
  std::string adapter; ///< empty for the model itself

  auto operator<=>(const loadable&) const = default;
};

/// \returns "model@version" or "model@version+adapter"
[[nodiscard]] std::string to_string(const loadable& item);

enum class order_action { load, unload, role };

template <>
struct enum_names<order_action> {
  static constexpr auto entries = enum_table<order_action>({{order_action::load, "load"},
                                                            {order_action::unload, "unload"},
                                                            {order_action::role, "role"}});
};

enum class order_state {
  sent,      ///< no answer yet; repeated under the same id until there is one
  done,      ///< the engine said so, or its report shows it
  failed,    ///< the engine refused or could not; planned anew after a while
  fenced,    ///< the engine has seen a newer epoch: this host no longer decides
  abandoned, ///< the engine is gone, or the order was never sent
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
  std::uint64_t id{}; ///< the same for each repeat
  std::uint64_t fencing{};
  endpoint_id endpoint;
  order_action action{order_action::load};
  loadable item;                          ///< for load and unload
  endpoint_role role{endpoint_role::any}; ///< for role
  std::string why;                        ///< for operators: the figures that led to it
};

/// \brief An order and what became of it.
struct order_record {
  engine_order order;
  order_state state{order_state::sent};
  bool answered{}; ///< the engine says that it is done; its report has yet to show it
  time_ms first_sent;
  time_ms last_sent;
  time_ms ended;
};

/// \brief An engine as the planner sees it.
struct engine_view {
  endpoint_id endpoint;
  data_centre_id data_centre;
  bool usable{true}; ///< neither leaving nor unreachable
  std::vector<loadable> held;
  endpoint_role role{endpoint_role::any};
  double load{}; ///< requests at it per place
};

/// \brief What a pool should hold of one item, from settings and demand.
struct item_goal {
  loadable item;
  std::uint32_t replicas{1};
};

/// \brief What is wanted of a pool.
struct pool_goal {
  std::vector<item_goal> items; ///< all that the settings list; anything else is surplus
  bool honours_fencing{};
  std::uint32_t prefill_engines{}; ///< 0 where the pool has no separate roles
};

/// \brief Demand for one item, in tokens per second.
struct item_demand {
  loadable item;
  double wanted{};
};

/// \returns replicas for each item: a floor for each, the rest by demand
/// \param places  items that all usable engines together can hold
[[nodiscard]] std::vector<item_goal> goals_by_demand(std::span<const item_demand> demand,
                                                     std::uint32_t engines, std::uint32_t places,
                                                     std::uint32_t least_replicas);

/// \returns engines for reading prompts, out of `engines`; at least one for each role
/// \param read, written  prompt and output tokens wanted per second
/// \param read_rate, write_rate  tokens per second of one engine
[[nodiscard]] std::uint32_t prefill_goal(std::uint32_t engines, double read, double written,
                                         double read_rate, double write_rate);

} // namespace sedgechute
