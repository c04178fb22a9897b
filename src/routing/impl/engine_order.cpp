#include "routing/impl/engine_order.hpp"

#include <algorithm>
#include <cmath>

namespace sedgechute {

std::string to_string(const loadable& item) {
  std::string text = item.model.model.str();
  if (!item.model.version.empty())
    text.append("@").append(item.model.version);
  if (!item.adapter.empty())
    text.append("+").append(item.adapter);
  return text;
}

std::vector<item_goal> goals_by_demand(std::span<const item_demand> demand, std::uint32_t engines,
                                       std::uint32_t places, std::uint32_t min_replicas) {
  std::vector<item_goal> goals;
  double all = 0.0;
  const std::uint32_t floor = std::min(min_replicas, engines);
  for (const item_demand& d : demand) {
    goals.push_back({d.item, floor});
    all += d.wanted;
  }
  const auto floors = static_cast<double>(floor) * static_cast<double>(demand.size());
  const double spare = std::max(0.0, static_cast<double>(places) - floors);
  if (all <= 0.0)
    return goals;
  for (std::size_t i = 0; i < goals.size(); ++i) {
    const auto extra = static_cast<std::uint32_t>(std::floor(spare * demand[i].wanted / all));
    goals[i].replicas = std::min(engines, floor + extra);
  }
  return goals;
}

std::uint32_t prefill_goal(std::uint32_t engines, double read, double written, double read_rate,
                           double write_rate) {
  if (engines < 2 || read_rate <= 0.0 || write_rate <= 0.0)
    return 0;
  const double reading = read / read_rate;
  const double writing = written / write_rate;
  const double share = reading + writing <= 0.0 ? 0.5 : reading / (reading + writing);
  const auto wanted = static_cast<std::uint32_t>(std::lround(share * engines));
  return std::clamp(wanted, 1U, engines - 1);
}

} // namespace sedgechute
