#include "admission/impl/capacity_shares.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace sedgechute {

namespace {

// Each priority has at least one of them. A tenth is promised; demands are estimates, and some of
// them are too low.
constexpr std::size_t guaranteed_parts = 9;

struct priority_class {
  double demand{};
  double share{};
  std::vector<std::size_t> flows; ///< indices
};

void share_among_teams(priority_class& of, std::span<const flow_demand> flows,
                       std::vector<double>& shares) {
  std::ranges::sort(of.flows, {}, [&](std::size_t index) { return flows[index].demand; });
  double left = of.share;
  std::size_t count = of.flows.size();
  for (const std::size_t index : of.flows) {
    shares[index] = std::min(flows[index].demand, left / static_cast<double>(count));
    left -= shares[index];
    --count;
  }
}

} // namespace

std::vector<double> share_capacity(std::span<const flow_demand> flows, double capacity) {
  std::map<int, priority_class> classes;
  for (std::size_t i = 0; i < flows.size(); ++i) {
    priority_class& of = classes[flows[i].priority];
    of.demand += flows[i].demand;
    of.flows.push_back(i);
  }
  const auto parts = static_cast<double>(std::max(classes.size(), guaranteed_parts));
  double left = capacity;
  for (auto& [priority, of] : classes) {
    of.share = std::min(of.demand, capacity / parts);
    left -= of.share;
  }
  std::vector<double> shares(flows.size());
  for (auto& [priority, of] : classes) {
    const double more = std::clamp(of.demand - of.share, 0.0, std::max(left, 0.0));
    of.share += more;
    left -= more;
    share_among_teams(of, flows, shares);
  }
  return shares;
}

} // namespace sedgechute
