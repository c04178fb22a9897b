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

void fleet_config::add_route(route added) {
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

const service_traits* fleet_config::find_service(const std::string& name) const {
  const auto at = services_.find(name);
  return at == services_.end() ? nullptr : &at->second;
}

} // namespace sedgechute
