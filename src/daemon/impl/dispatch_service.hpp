#pragma once

#include "clients/clients.hpp"
#include "config/config.hpp"
#include "daemon/impl/order_goal.hpp"
#include "gateway/gateway.hpp"
#include "routing/routing.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <unordered_map>

namespace sedgechute {

/// \brief Queues, endpoints, retry budgets and quarantine behind one lock; requests wait here for
/// their turn. Thread-safe.
class dispatch_service final : public dispatch_port {
 public:
  /// \brief Finds the contract in force of a team that has work; null when it has none.
  using contract_source = std::function<std::shared_ptr<const contract>(const team_id&)>;

  dispatch_service(data_centre_id here, const clock& time, std::uint64_t seed,
                   contract_source contracts);

  /// \brief The platform's list: endpoints that appeared, left or are leaving.
  void on_host_list(const host_listing& list);
  void on_fleet(std::shared_ptr<const fleet_settings> fleet);
  void on_load(const endpoint_id& endpoint, const load_report& report);
  /// \brief An endpoint's own word that it is leaving, or serving.
  void on_leaving(const endpoint_id& endpoint, bool leaving);
  void on_cache_event(const endpoint_id& endpoint, std::uint64_t block, bool stored);
  void on_cache_gap(const endpoint_id& endpoint, std::uint64_t missed);

  /// \brief Starts whoever may start; to be called about every 20 ms.
  void tick();
  /// \brief Compares endpoints with their peers and lets old suspicions expire, once a second.
  void review();

  /// \returns endpoints of the host list, for the loops that ask them for their load.
  [[nodiscard]] std::vector<host_list_entry> endpoints() const;

  /// \returns the entry hosts that the platform's list names.
  [[nodiscard]] std::vector<host_list_entry> entry_hosts() const;

  /// \returns the pool's endpoints with their own reports, for whoever gives orders to them.
  [[nodiscard]] std::vector<reported_engine> reported_engines(const pool_id& pool) const;

  /// \returns where an endpoint serves; empty when it is not listed.
  [[nodiscard]] std::string address_of(const endpoint_id& endpoint) const;

  /// \brief News of suspected content, from and for other hosts.
  [[nodiscard]] quarantine_news take_news();
  void merge(const quarantine_news& news);

  /// \brief What an operator is told of a pool.
  struct pool_figures {
    queue_figures queue;
    endpoint_table::pool_load load;
  };
  [[nodiscard]] pool_figures figures(const pool_id& pool) const;
  /// \returns what each team with work has, did and wants in the pool.
  [[nodiscard]] std::vector<fair_queue::team_figures> teams(const pool_id& pool) const;
  /// \returns how many contents are in quarantine.
  [[nodiscard]] std::size_t quarantined() const;

  [[nodiscard]] share_report own_report(const pool_id& pool, const incarnation& self);
  void apply_plan(const pool_id& pool, const share_plan& plan);
  [[nodiscard]] std::vector<pool_id> pools() const;
  [[nodiscard]] std::vector<team_weight> weights() const;

  [[nodiscard]] dispatch_turn acquire(const dispatch_request& request,
                                      const std::function<bool()>& abandoned) override;
  void release(const dispatch_turn& turn, const dispatch_request& request,
               const turn_report& report) override;
  [[nodiscard]] std::optional<time_ms> retry_after_failure(const dispatch_request& request,
                                                           int attempts) override;

 private:
  /// A request that waits, or runs.
  struct waiter {
    std::uint64_t ticket{};
    const dispatch_request* request{};
    route_need need;
    std::optional<work_grant> grant;
    std::optional<route_attempt> attempt;
    endpoint_id endpoint;
    std::optional<error_kind> refused;
    std::condition_variable_any decided;
  };
  struct running {
    pool_id pool;
    work_grant grant;
    route_attempt attempt;
    std::uint64_t fingerprint{};
    time_ms started;
  };
  struct pool_state {
    fair_queue queue;
    retry_budget retries;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiting;
    std::map<team_id, double> served; ///< cost started at the last report, by team
    std::map<team_id, double> arrived;
    std::uint64_t reports{0};
    time_ms reported;
  };

  struct known_team {
    std::uint64_t revision{};
    team_limits limits;
  };

  struct heard_report {
    load_report report;
    time_ms at;
  };

  [[nodiscard]] bool is_leaving(const host_list_entry& entry) const;
  [[nodiscard]] pool_state& pool(const pool_id& id);
  void learn_team(const access_grant& grant);
  void pump(pool_state& state);
  void start(pool_state& state, waiter& next, const route_choice& choice);
  [[nodiscard]] dispatch_turn begin_turn(const pool_id& pool, const waiter& ready);
  void note_failure(const running& ended, const endpoint_id& endpoint);

  data_centre_id here_;
  const clock& time_;
  mutable ordered_mutex mutex_{lock_rank::queues};
  random_source random_;
  retry_policy retry_policy_;
  endpoint_table table_;
  quarantine_table quarantine_;
  std::map<pool_id, pool_state> pools_;
  contract_source contracts_;
  std::map<team_id, known_team> teams_; ///< those that have had work here
  std::map<endpoint_id, host_list_entry> listed_;
  std::map<endpoint_id, heard_report> reports_; ///< the last one of each listed endpoint
  std::vector<host_list_entry> entry_hosts_;
  std::map<endpoint_id, bool> own_word_leaving_;
  std::shared_ptr<const fleet_settings> fleet_;
  std::unordered_map<std::uint64_t, running> running_;
  std::uint64_t next_ticket_{1};
};

} // namespace sedgechute
