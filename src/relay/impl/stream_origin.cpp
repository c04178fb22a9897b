#include "relay/impl/stream_origin.hpp"

#include <algorithm>

namespace sedgechute {

resume_decision decide_resume(const stream_build& recorded,
                              const std::function<std::optional<build_hash>()>& sole_build,
                              const std::function<bool(build_hash)>& serves) {
  resume_decision made;
  if (recorded.knowledge == stream_build::state::known)
    made = {resume_result::known, recorded.build};
  else if (recorded.knowledge == stream_build::state::unknown)
    if (const auto sole = sole_build())
      made = {resume_result::sole_build, sole};
  if (made.build && !serves(*made.build))
    made = {resume_result::gone, std::nullopt};
  return made;
}

void caller_patience::note(const std::string& route, std::string_view team, time_ms patience) {
  route_patience& on = routes_[route];
  on.of_all = std::max(on.of_all, patience);
  const auto at = on.of_team.find(team);
  if (at == on.of_team.end())
    on.of_team.emplace(team, patience);
  else
    at->second = std::max(at->second, patience);
}

std::optional<time_ms> caller_patience::longest(const std::string& route,
                                                std::string_view team) const {
  const auto on = routes_.find(route);
  if (on == routes_.end())
    return std::nullopt;
  const auto at = on->second.of_team.find(team);
  return at == on->second.of_team.end() ? on->second.of_all : at->second;
}

// All attempts of a caller lie within the time that it waits from the first one on, which may be
// longer than the timeout of the route. A caller that still waits for longer than the route allows
// may have begun at any time.
std::optional<time_ms> max_stream_age(const route& on, std::optional<time_ms> patience,
                                      std::optional<time_ms> longest) noexcept {
  constexpr time_ms margin{1000}; // for the way between a caller and its host
  if (!patience || *patience > on.timeout || !longest)
    return std::nullopt;
  return std::max(on.timeout, *longest) + margin;
}

} // namespace sedgechute
