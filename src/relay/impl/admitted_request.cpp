#include "relay/impl/admitted_request.hpp"

#include <algorithm>
#include <utility>

namespace sedgechute {

namespace {

constexpr time_ms default_patience{30000}; // when the caller sends none

const route& route_of(const request_head& head, const fleet_config& config) {
  const std::string* host = head.fields.find("Host");
  if (host == nullptr)
    throw error{error_kind::malformed_request, "Host", "is missing"};
  const route* found = config.find_route(*host, head.path());
  if (found == nullptr)
    throw error{error_kind::unknown_path, *host,
                "no route matches in configuration version " + std::to_string(config.version)};
  return *found;
}

const team_terms& team_of(const std::string& key, const fleet_config& config) {
  const team_terms* found = config.find_team(key);
  if (found == nullptr)
    throw error{error_kind::unauthenticated, "key",
                "no team has this key in configuration version " + std::to_string(config.version)};
  return *found;
}

// Endpoints registered for a service that the configuration does not describe do not belong to the
// fleet, even if a route names the service.
const service_traits& traits_of(const admitted_request& request) {
  const service_traits* found = request.config->find_service(request.service);
  if (found == nullptr)
    throw error{error_kind::no_capacity, request.service,
                "is not described in configuration version " +
                    std::to_string(request.config->version)};
  return *found;
}

} // namespace

std::string_view admitted_request::team_name() const noexcept {
  return team != nullptr ? std::string_view{team->name.str()} : std::string_view{};
}

data_residency admitted_request::residency() const noexcept {
  return {&on_route->regions, team != nullptr ? &team->regions : nullptr};
}

std::string choose_service(const route& from, const std::string& request) {
  std::uint64_t total = 0;
  for (const weighted_service& one : from.services)
    total += one.weight;
  std::uint64_t drawn = total == 0 ? 0 : stable_hash(request) % total;
  for (const weighted_service& one : from.services) {
    if (drawn < one.weight)
      return one.service;
    drawn -= one.weight;
  }
  return from.services.empty() ? std::string{} : from.services.back().service;
}

void admit(const request_head& head, time_ms received, const wire_dialect& dialect,
           config_ptr in_force, admitted_request& into) {
  into.terms = dialect.read_request(head.fields);
  into.config = std::move(in_force);
  if (!into.config)
    throw error{error_kind::not_ready, "configuration", "has not been received yet"};
  into.on_route = &route_of(head, *into.config);
  if (into.config->keys_required && !into.on_route->open_to_all)
    into.team = &team_of(into.terms.bearer, *into.config);
  into.service = choose_service(*into.on_route, into.terms.id);
  into.event_tokens = std::max<std::uint64_t>(traits_of(into).tokens_per_event, 1);
  const time_ms patience = into.terms.patience.value_or(default_patience);
  into.deadline = received + std::min(patience, into.on_route->timeout);
}

} // namespace sedgechute
