#include "relay/impl/fleet_config.hpp"

#include <algorithm>

namespace sedgechute {

namespace {

/// \returns the host in lower case without its port: `Example.net:8080` gives `example.net`
std::string host_key(std::string_view host) {
  std::string key{host.substr(0, host.find(':'))};
  std::transform(key.begin(), key.end(), key.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return key;
}

} // namespace

void fleet_config::priority_range::add(int priority) noexcept {
  highest = empty ? priority : std::min(highest, priority);
  lowest = empty ? priority : std::max(lowest, priority);
  empty = false;
}

void fleet_config::priority_range::add(const priority_range& other) noexcept {
  if (other.empty)
    return;
  add(other.highest);
  add(other.lowest);
}

void fleet_config::route_priorities::add(const route& added) noexcept {
  (added.open_to_all ? open : keyed).add(added.priority);
}

void fleet_config::add_route(route added) {
  all_routes_.add(added);
  for (const weighted_service& one : added.services)
    routes_of_service_[one.service].add(added);
  std::vector<route>& of_host = routes_[host_key(added.host)];
  const auto shorter = [&](const route& other) {
    return other.prefix.size() < added.prefix.size();
  };
  const auto at = std::find_if(of_host.begin(), of_host.end(), shorter);
  of_host.insert(at, std::move(added));
  ++route_count_;
}

void fleet_config::add_service(service_traits added) {
  std::string name = added.name;
  services_.insert_or_assign(std::move(name), std::move(added));
}

void fleet_config::add_team(const team_terms& team, const std::vector<std::string>& keys) {
  teams_.insert_or_assign(team.name.str(), team);
  if (team.priority)
    teams_own_.add(*team.priority);
  else
    team_without_own_ = true;
  for (const std::string& key : keys)
    team_of_key_.insert_or_assign(key, team.name.str());
}

const route* fleet_config::find_route(std::string_view host, std::string_view path) const {
  const auto of_host = routes_.find(host_key(host));
  if (of_host == routes_.end())
    return nullptr;
  const auto matches = [&](const route& candidate) { return path.starts_with(candidate.prefix); };
  const auto at = std::find_if(of_host->second.begin(), of_host->second.end(), matches);
  return at == of_host->second.end() ? nullptr : &*at;
}

const team_terms* fleet_config::find_team(const std::string& key) const {
  const auto name = team_of_key_.find(key);
  if (name == team_of_key_.end())
    return nullptr;
  const auto at = teams_.find(name->second);
  return at == teams_.end() ? nullptr : &at->second;
}

bool fleet_config::differ(const route_priorities& routes) const noexcept {
  priority_range all = routes.open;
  if (!keys_required || team_without_own_ || teams_.empty())
    all.add(routes.keyed);
  if (keys_required && !routes.keyed.empty)
    all.add(teams_own_);
  return !all.empty && all.highest != all.lowest;
}

bool fleet_config::priorities_differ() const noexcept {
  return differ(all_routes_);
}

bool fleet_config::priorities_differ(const std::string& service) const {
  const auto routes = routes_of_service_.find(service);
  return routes != routes_of_service_.end() && differ(routes->second);
}

int priority_of(const route& on, const team_terms* team) noexcept {
  return team != nullptr ? team->priority.value_or(on.priority) : on.priority;
}

const service_traits* fleet_config::find_service(const std::string& name) const {
  const auto at = services_.find(name);
  return at == services_.end() ? nullptr : &at->second;
}

} // namespace sedgechute
