#pragma once

#include "kernel/kernel.hpp"

#include <span>
#include <vector>

namespace sedgechute {

/// \brief What one team wants from and got of a pool, in tokens per second.
struct team_demand {
  team_id team;
  double wanted{}; ///< arriving, what was refused included
  double served{}; ///< started over the last period
  double queued{}; ///< tokens that wait
  double weight{1.0};
};

/// \brief What a report speaks of.
enum class share_scope : std::uint8_t {
  host,        ///< one host's own demand
  data_centre, ///< the sum of a data centre's hosts
  fleet        ///< all hosts, for the teams that one host named; the rest in `others`
};

/// \brief What one host, or a group of hosts together, feeds into a pool.
struct share_report {
  pool_id pool;
  incarnation from;
  std::uint64_t sequence{};
  std::uint32_t hosts{1};         ///< hosts that it sums up
  std::vector<team_demand> teams; ///< the largest demands
  double urgent_queued{};         ///< tokens that wait, long_running work left out
  team_demand others;             ///< the rest together; its team is empty
  share_scope scope{};
  double rate{}; ///< tokens per second that the queues start; 0 when not known
  /// Of scope `fleet` only: demand of `others` that the division grants, and what those of them
  /// that go beyond their share were served.
  double others_granted{};
  double others_beyond{};
};

/// \brief Sums reports up, so that one host may speak for its group. At most `most_teams` are
/// named; the rest is added to `others`.
[[nodiscard]] share_report merge_reports(std::span<const share_report> reports,
                                         std::size_t most_teams);

/// \brief One team's part on this host.
struct team_share {
  team_id team;
  double weight{};   ///< for `fair_queue::set_share`
  double fraction{}; ///< of the team's limits
  /// How far the team goes beyond its share of a pool that is short, 0..1.
  double excess{};
};

struct share_plan {
  double slots{};         ///< requests that this host may have at the pool's endpoints
  double entitled_part{}; ///< of the pool, used by teams that are not beyond their share
  std::vector<team_share> teams;
};

/// \brief A contract's weight in the pool.
struct team_weight {
  team_id team;
  double weight{1.0};
};

struct share_policy {
  double floor_slots{1.0}; ///< that every host keeps, to start at once when work arrives
  double feedback{0.5};    ///< how much of a team's measured error is made up for
  double most_feedback{2.0};
  double flood_from{1.3};      ///< times its share that a team asks for to count as beyond it
  double least_entitled{0.25}; ///< part of the service of teams that do not flood, to protect them
  double flood_range{0.5};     ///< times more until it counts in full
  double beyond_from{0.95};    ///< times its share that a team was served to count as beyond it
  /// Seconds of the pool's service that wait when it is short. Long work often waits by choice.
  double short_urgent_s{0.3};
  double short_queue_s{2.0};
  std::size_t most_teams{64}; ///< named in a report
  time_ms horizon{2000};      ///< in which a backlog counts as demand
  time_ms silence{3500};      ///< after which a host's last report counts no more
};

/// \brief What the plan is made from.
struct share_inputs {
  double pool_slots{}; ///< places at the endpoints that take work
  double pool_rate{};  ///< tokens per second that the pool starts; 0 when not known
  share_report own;    ///< this host's
  share_report all;    ///< sum over all hosts, this one included
};

/// \brief What the division of a pool gives one team.
struct team_grant {
  double granted{}; ///< tokens per second
  bool beyond{};    ///< the team asks for so much more than its share that it counts as a flood
};

/// \brief Divides a pool's rate over the teams of `all`: each its weighted share, no more than it
/// wants, the rest to those that want more.
/// \returns a grant for each of `all.teams`, in their order
[[nodiscard]] std::vector<team_grant> divide_pool(const share_report& all,
                                                  const share_policy& policy);

/// \returns what a team, or the others together, would start at once
[[nodiscard]] double demand_of(const team_demand& team, const share_policy& policy);

/// \brief Divides a pool over the hosts that feed it. Each team gets its weighted share of the
/// pool, no more than it wants; what is left goes to those that want more. A host gets for each
/// team the part that its own demand has in the team's whole, and credit for the sum.
[[nodiscard]] share_plan plan_shares(const share_inputs& inputs,
                                     std::span<const team_weight> weights,
                                     const share_policy& policy);

} // namespace sedgechute
