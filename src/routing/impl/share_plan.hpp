#pragma once

#include "kernel/kernel.hpp"

#include <span>
#include <vector>

namespace sedgechute {

/// \brief One team's demand for and service by a pool, in tokens per second.
struct team_demand {
  team_id team;
  double wanted{}; ///< arrival rate, refused requests included
  double served{}; ///< rate of started work over the last period
  double queued{}; ///< waiting tokens
  double weight{1.0};
};

/// \brief Which hosts a report covers.
enum class share_scope : std::uint8_t {
  host,        ///< one host
  data_centre, ///< sum of a data centre's hosts
  fleet        ///< sum of all hosts; teams that the receiver did not name are in `others`
};

/// \brief Demand that one host or a group of hosts has for a pool.
struct share_report {
  pool_id pool;
  incarnation from;
  std::uint64_t sequence{};
  std::uint32_t hosts{1};         ///< number of hosts included
  std::vector<team_demand> teams; ///< largest demands
  double urgent_queued{};         ///< waiting tokens, except long_running work
  team_demand others;             ///< sum of the other teams; its `team` is empty
  share_scope scope{};
  double rate{};           ///< tokens per second that the queues start; 0 if unknown
  double others_granted{}; ///< scope `fleet` only: granted to `others`
  double others_beyond{};  ///< scope `fleet` only: served to those of `others` beyond their share
};

/// \returns the sum of the reports, with at most `max_teams` named teams and the rest in `others`
[[nodiscard]] share_report merge_reports(std::span<const share_report> reports,
                                         std::size_t max_teams);

/// \brief One team's share of this host's service.
struct team_share {
  team_id team;
  double weight{};   ///< for `fair_queue::set_share`
  double fraction{}; ///< fraction of the team's limits that this host may use
  double excess{};   ///< how far the team exceeds its share of an overloaded pool, 0..1
};

/// \brief One host's part of a pool.
struct share_plan {
  double slots{};         ///< requests that this host may have at the pool's endpoints
  double entitled_part{}; ///< fraction of the pool used by teams within their share
  std::vector<team_share> teams;
};

/// \brief A team's contracted weight in the pool.
struct team_weight {
  team_id team;
  double weight{1.0};
};

/// \brief Parameters of the division of a pool.
struct share_policy {
  double min_slots{1.0}; ///< minimum credit of every host, so that arriving work starts at once
  double feedback{0.5};  ///< gain of the correction of a team's service error
  double max_feedback{2.0};
  double flood_from{1.3};    ///< demand, as a multiple of its share, from which a team floods
  double min_entitled{0.25}; ///< service fraction of other teams from which they are protected
  double flood_range{0.5};   ///< increase of that multiple until `excess` is 1
  double beyond_from{0.95};  ///< service, as a multiple of its share, from which a team exceeds it
  /// Backlog from which a pool is overloaded, in seconds of its service: without long_running work,
  /// and with it. Long work often waits by choice, so its bound is higher.
  double overload_urgent_s{0.3};
  double overload_queue_s{2.0};
  std::size_t max_teams{64};     ///< teams named in a report
  time_ms horizon{2000};         ///< time over which a backlog is spread as demand
  time_ms report_lifetime{3500}; ///< age at which a host's last report expires
};

/// \brief Input of `plan_shares`.
struct share_inputs {
  double pool_slots{}; ///< places at active endpoints
  double pool_rate{};  ///< tokens per second that the pool starts; 0 if unknown
  share_report own;    ///< this host's report
  share_report all;    ///< sum over all hosts, including this one
};

/// \brief One team's part in the division of a pool.
struct team_grant {
  double granted{}; ///< tokens per second
  bool beyond{};    ///< demand is at least `share_policy::flood_from` times the share
};

/// \brief Divides a pool's rate over the teams of `all` by weighted max-min fairness: no team gets
/// more than its demand, and the remainder goes to those that demand more.
/// \returns a grant for each of `all.teams`, in their order
[[nodiscard]] std::vector<team_grant> divide_pool(const share_report& all,
                                                  const share_policy& policy);

/// \returns the demand of a team, or of `others`, in tokens per second: its arrival rate and the
/// backlog spread over the horizon
[[nodiscard]] double demand_of(const team_demand& team, const share_policy& policy);

/// \brief Divides a pool over the hosts that send to it. Teams are granted rates as in
/// `divide_pool`. A host gets the part of each team's grant that corresponds to its part of the
/// team's demand, and credit in proportion to the sum.
[[nodiscard]] share_plan plan_shares(const share_inputs& inputs,
                                     std::span<const team_weight> weights,
                                     const share_policy& policy);

} // namespace sedgechute
