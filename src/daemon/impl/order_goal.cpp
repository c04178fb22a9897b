#include "daemon/impl/order_goal.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

namespace {

// A lull or a burst of a few seconds says nothing about which models will be wanted.
constexpr double smoothing_ms = 30000.0;
constexpr std::uint32_t least_replicas = 2;

std::vector<std::string> versions_of(const model_settings& model) {
  return model.versions.empty() ? std::vector<std::string>{{}} : model.versions;
}

const model_settings* find_in(const pool_settings& pool, const model_id& name) {
  const auto found = std::ranges::find(pool.models, name, &model_settings::name);
  return found == pool.models.end() ? nullptr : &*found;
}

bool is_listed(const pool_settings& pool, const loadable& item) {
  const model_settings* const model = find_in(pool, item.model.model);
  if (model == nullptr)
    return false;
  const auto versions = versions_of(*model);
  return std::ranges::find(versions, item.model.version) != versions.end();
}

bool holds_model(const engine_view& engine, const model_id& model) {
  return std::ranges::any_of(engine.held, [&](const loadable& item) {
    return item.adapter.empty() && item.model.model == model;
  });
}

std::uint32_t engines_in_change(const pool_settings& pool, std::span<const engine_view> engines,
                                const model_id& model) {
  const bool changing = std::ranges::any_of(engines, [&](const engine_view& engine) {
    return engine.usable && std::ranges::any_of(engine.held, [&](const loadable& item) {
             return item.adapter.empty() && item.model.model == model && !is_listed(pool, item);
           });
  });
  if (!changing)
    return 0;
  return static_cast<std::uint32_t>(std::ranges::count_if(engines, [&](const engine_view& engine) {
    return engine.usable && holds_model(engine, model);
  }));
}

bool has_separate_roles(const pool_settings& pool) {
  const auto lists = [&](engine_role role) {
    return std::ranges::find(pool.roles, role) != pool.roles.end();
  };
  return lists(engine_role::prefill) && lists(engine_role::decode) && !lists(engine_role::any);
}

} // namespace

std::vector<loadable> held_items(const pool_settings& pool, const load_report& report) {
  std::vector<loadable> held;
  for (const model_version& loaded : report.models) {
    const model_settings* const known = find_in(pool, loaded.model);
    if (known != nullptr && loaded.version.empty())
      for (const std::string& version : versions_of(*known))
        held.push_back({{loaded.model, version}, {}});
    else
      held.push_back({loaded, {}});
  }
  const std::vector<loadable> models = held;
  for (const loadable& item : models) {
    const model_settings* const known = find_in(pool, item.model.model);
    for (const std::string& adapter : report.adapters)
      if (known != nullptr && std::ranges::find(known->adapters, adapter) != known->adapters.end())
        held.push_back({item.model, adapter});
  }
  return held;
}

engine_view view_of(const pool_settings& pool, const reported_engine& engine) {
  engine_view view;
  view.endpoint = engine.endpoint;
  view.data_centre = engine.data_centre;
  view.usable = engine.heard && !engine.leaving;
  view.held = held_items(pool, engine.report);
  view.role = engine.report.role;
  const double places = std::max(1.0, static_cast<double>(engine.report.max_running));
  view.load = static_cast<double>(engine.report.running + engine.report.waiting) / places;
  return view;
}

void model_demand::note(const pool_settings& pool, std::span<const reported_engine> engines,
                        time_ms now) {
  std::map<model_id, double> wanted;
  for (const reported_engine& engine : engines) {
    if (!engine.heard || engine.report.models.empty())
      continue;
    const double part = static_cast<double>(engine.report.running + engine.report.waiting) /
                        static_cast<double>(engine.report.models.size());
    for (const model_version& loaded : engine.report.models)
      wanted[loaded.model] += part;
  }
  const double span = static_cast<double>((now - noted_).count());
  const double weight = 1.0 - std::exp(-span / smoothing_ms);
  noted_ = now;
  for (const model_settings& model : pool.models) {
    double& smoothed = smoothed_[model.name];
    smoothed += weight * (wanted[model.name] - smoothed);
  }
}

double model_demand::of(const model_id& model) const {
  const auto found = smoothed_.find(model);
  return found == smoothed_.end() ? 0.0 : found->second;
}

pool_goal goal_of(const pool_settings& pool, std::span<const engine_view> engines,
                  const model_demand& demand, std::uint32_t models_per_engine) {
  const auto usable =
      static_cast<std::uint32_t>(std::ranges::count(engines, true, &engine_view::usable));
  std::vector<item_demand> wanted;
  for (const model_settings& model : pool.models) {
    const auto versions = versions_of(model);
    for (const std::string& version : versions)
      wanted.push_back({{{model.name, version}, {}},
                        demand.of(model.name) / static_cast<double>(versions.size())});
  }
  pool_goal goal;
  goal.honours_fencing = pool.honours_fencing;
  goal.items = goals_by_demand(wanted, usable, usable * models_per_engine, least_replicas);
  for (item_goal& item : goal.items)
    item.replicas =
        std::max(item.replicas, engines_in_change(pool, engines, item.item.model.model));
  for (const model_settings& model : pool.models)
    for (const std::string& version : versions_of(model))
      for (const std::string& adapter : model.adapters)
        goal.items.push_back({{{model.name, version}, adapter}, std::min(least_replicas, usable)});
  // Without reports of what a role's engines could do, an even split is the only one that follows.
  if (has_separate_roles(pool) && usable > 1)
    goal.prefill_engines = std::max(1U, usable / 2);
  return goal;
}

} // namespace sedgechute
