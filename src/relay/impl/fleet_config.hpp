#pragma once

#include "kernel/kernel.hpp"
#include "relay/impl/cold_start.hpp"
#include "relay/impl/data_residency.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sedgechute {

/// \brief Whether the requests of a route may be repeated.
enum class request_kind {
  safe,   ///< may run more than once
  unsafe, ///< may run once at most
  stream, ///< answered by a stream of events; may run once at most unless the route is resumable
};

template <>
struct enum_names<request_kind> {
  static constexpr auto entries = enum_table<request_kind>({{request_kind::safe, "safe"},
                                                            {request_kind::unsafe, "unsafe"},
                                                            {request_kind::stream, "stream"}});
};

struct weighted_service {
  std::string service;
  std::uint64_t weight{1};
};

struct route {
  std::string name;
  std::string host;
  std::string prefix; ///< begins and ends with a slash
  request_kind kind{request_kind::unsafe};
  time_ms timeout;        ///< of a request
  time_ms latency_target; ///< until the answer, or until the first event of a stream
  time_ms longest_pause;  ///< between two events of a stream
  int priority{0};        ///< 0 is the highest
  int max_attempts{1};    ///< endpoints that one request may be sent to
  bool open_to_all{false};
  bool resumable{false};
  std::vector<weighted_service> services;
  region_list regions{}; ///< in which its requests may be handled
};

/// \brief Properties that all endpoints of a service share.
struct service_traits {
  std::string name;
  std::uint64_t max_connections{}; ///< per endpoint, from all hosts together
  std::uint64_t batch_slots{};     ///< 0 for a plain service
  std::uint64_t memory_tokens{};
  std::uint64_t tokens_per_event{1}; ///< maximum number of tokens in one event
  cold_start_terms cold_start{};
};

struct team_terms {
  team_id name;
  std::optional<int> priority; ///< overrides the route's
  std::optional<std::uint64_t> prepaid;
  region_list regions{}; ///< in which its requests may be handled
};

/// \brief Size and time limits of a caller's requests.
struct caller_limits {
  std::size_t header_bytes{16384};
  std::size_t body_bytes{std::size_t{4} << 20U};
  time_ms header_timeout{3000};
  time_ms idle_timeout{15000};
};

/// \brief One version of the fleet's configuration. Immutable once it is shared.
class fleet_config {
 public:
  std::uint64_t version{};
  caller_limits limits;
  bool keys_required{false};

  void add_route(route added);
  void add_service(service_traits added);
  void add_team(const team_terms& team, const std::vector<std::string>& keys);

  /// \returns the route of `host` with the longest prefix of `path`, or null
  [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;
  /// \returns the team that owns `key`; null if none does
  [[nodiscard]] const team_terms* find_team(const std::string& key) const;
  /// \returns null when the configuration does not describe the service
  [[nodiscard]] const service_traits* find_service(const std::string& name) const;
  [[nodiscard]] const std::unordered_map<std::string, service_traits>& services() const noexcept {
    return services_;
  }
  [[nodiscard]] const std::map<std::string, team_terms>& teams() const noexcept { return teams_; }
  [[nodiscard]] std::size_t route_count() const noexcept { return route_count_; }
  /// \returns whether requests may have different priorities
  [[nodiscard]] bool priorities_differ() const noexcept;
  /// \returns whether requests of the routes of a service may have different priorities
  [[nodiscard]] bool priorities_differ(const std::string& service) const;

 private:
  struct priority_range {
    int highest{};
    int lowest{};
    bool empty{true};

    void add(int priority) noexcept;
    void add(const priority_range& other) noexcept;
  };
  struct route_priorities {
    priority_range open; ///< routes that need no key
    priority_range keyed;

    void add(const route& added) noexcept;
  };

  [[nodiscard]] bool differ(const route_priorities& routes) const noexcept;

  std::unordered_map<std::string, std::vector<route>> routes_; ///< by host, longest prefix first
  std::unordered_map<std::string, service_traits> services_;
  std::map<std::string, team_terms> teams_;
  std::unordered_map<std::string, std::string> team_of_key_;
  std::size_t route_count_{0};
  route_priorities all_routes_;
  std::unordered_map<std::string, route_priorities> routes_of_service_;
  priority_range teams_own_; ///< teams that override the route's priority
  bool team_without_own_{false};
};

/// \returns the priority of the requests of a team on a route
/// \param team  null where no key is needed
[[nodiscard]] int priority_of(const route& on, const team_terms* team) noexcept;

using config_ptr = std::shared_ptr<const fleet_config>;

} // namespace sedgechute
