#pragma once

#include "config/config.hpp"
#include "routing/routing.hpp"

#include <map>
#include <span>
#include <vector>

namespace sedgechute {

/// \brief An engine as its own reports and the host list show it.
struct reported_engine {
  endpoint_id endpoint;
  data_centre_id data_centre;
  std::string address;
  bool leaving{};
  bool heard{}; ///< its report is recent and says what it has loaded
  load_report report;
};

/// \returns what an engine has loaded, in the terms of the pool's settings. An engine that reports
/// a model without a version counts as having each version that the settings list.
[[nodiscard]] std::vector<loadable> held_items(const pool_settings& pool,
                                               const load_report& report);

[[nodiscard]] engine_view view_of(const pool_settings& pool, const reported_engine& engine);

/// \brief Demand of late by model, in requests at the engines.
class model_demand {
 public:
  /// \brief Takes the engines' figures in; to be called about once a second.
  void note(const pool_settings& pool, std::span<const reported_engine> engines, time_ms now);
  [[nodiscard]] double of(const model_id& model) const;

 private:
  std::map<model_id, double> smoothed_;
  time_ms noted_;
};

/// \brief What the pool should hold: each item of the settings on a few engines, the rest by
/// demand. While engines still have a version that is no longer listed, the listed ones are wanted
/// on as many engines as have any, so that a change of version costs no capacity.
[[nodiscard]] pool_goal goal_of(const pool_settings& pool, std::span<const engine_view> engines,
                                const model_demand& demand, std::uint32_t models_per_engine);

} // namespace sedgechute
