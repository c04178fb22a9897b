#include "config/impl/document_semantics.hpp"

namespace sedgechute {
namespace {

[[nodiscard]] std::string unknown(const std::string& pointer, pool_kind kind,
                                  const std::string& name, const fleet_settings& fleet) {
  std::vector<std::string> names;
  for (const auto& pool : fleet.pools)
    if (pool.kind == kind)
      names.push_back(pool.name.str());
  const std::string nearest = nearest_name(name, names);
  const std::string what = kind == pool_kind::engine ? "engine pool" : "service";
  return pointer + ": the fleet settings have no " + what + " \"" + name + "\"" +
         (nearest.empty() ? "" : " (did you mean \"" + nearest + "\"?)");
}

[[nodiscard]] std::string first_unknown(const std::string& pointer, pool_kind kind,
                                        const std::vector<pool_id>& names,
                                        const fleet_settings& fleet) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto* pool = find_pool(fleet, names[i]);
    if (pool == nullptr || pool->kind != kind)
      return unknown(pointer + "/" + std::to_string(i), kind, names[i].str(), fleet);
  }
  return {};
}

} // namespace

std::string misfit(const contract& agreed, const fleet_settings& fleet) {
  std::string reason = first_unknown("/pools", pool_kind::engine, agreed.pools, fleet);
  if (reason.empty())
    reason = first_unknown("/services", pool_kind::service, agreed.services, fleet);
  for (std::size_t i = 0; reason.empty() && i < agreed.models.size(); ++i) {
    const auto* pool = find_pool_of(fleet, agreed.models[i]);
    if (pool == nullptr || !allows_pool(agreed, pool->name))
      reason = "/models/" + std::to_string(i) + ": no pool of this contract serves model \"" +
               agreed.models[i].str() + "\"";
  }
  return reason;
}

std::string share_misfit(std::int64_t sum, const fleet_settings& fleet) {
  if (sum <= fleet.share_total)
    return {};
  return "/share: the shares of all active contracts would be " + std::to_string(sum) +
         ", the fleet settings allow " + std::to_string(fleet.share_total);
}

} // namespace sedgechute
