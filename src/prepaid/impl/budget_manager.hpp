#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/account_log.hpp"
#include "prepaid/impl/fleet_clock.hpp"
#include "prepaid/impl/funding.hpp"
#include "prepaid/impl/partition_budgets.hpp"
#include "telemetry/telemetry.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Name and incarnation under which a host writes its accounts.
struct host_identity {
  std::string host;
  std::uint64_t incarnation{};
  clock_reading started; ///< when this incarnation began
};

/// \brief Tokens that a request needs.
struct token_demand {
  std::string team;
  std::uint64_t tokens{};
  std::string request; ///< request id for log lines; may be empty
  /// Longest wait until this host's promise covers the request while the log does not answer.
  time_ms max_promise_wait{};
  /// Longest wait for loans and the log together; zero: `prepaid_options::max_log_wait`.
  time_ms max_wait{};
  std::uint64_t ahead{}; ///< tokens to borrow besides, for requests of the next half second
};

/// \brief Reserves tokens of team budgets for requests. A background thread synchronizes this
/// host's accounts with the log. Thread-safe.
class budget_manager {
 public:
  /// \brief Borrows tokens for a request from the given hosts; returns how many arrived in time.
  using borrow_function = std::function<std::uint64_t(const token_demand& demand,
                                                      const std::vector<token_holder>& from)>;
  /// \brief Returns idle borrowed tokens of a team to the hosts that lent them.
  using return_function = std::function<void(const std::string& team)>;

  /// \param logs  one per partition; `account_partition` maps a team to its partition
  budget_manager(const host_identity& owner, const prepaid_options& options,
                 std::vector<std::unique_ptr<account_log>> logs, const fleet_clock& time,
                 entry_faults& faults, structured_log& log);
  budget_manager(const budget_manager&) = delete;
  budget_manager& operator=(const budget_manager&) = delete;
  ~budget_manager();

  /// \brief Sets how tokens are borrowed from and returned to other hosts. Call before `start`.
  void set_loan_functions(borrow_function borrow, return_function return_idle) {
    borrow_ = std::move(borrow);
    return_idle_ = std::move(return_idle);
  }
  /// \brief Sets the teams whose tokens this host holds; all teams by default. Call before `start`.
  void set_holder_predicate(const partition_budgets::holder_predicate& holds);

  /// \brief Re-evaluates the holder predicate after the set of hosts has changed.
  void on_holders_changed();

  void start();
  /// \brief Returns unused tokens to the budgets if the log is reachable, and stops.
  void stop() noexcept;
  /// \brief Like `stop`, for a process about to exit: waits for the log no longer than `most`.
  /// \returns whether all records were appended within `most`
  [[nodiscard]] bool finish(time_ms most) noexcept;

  /// \brief Sets the tokens that each team has paid for today. Teams that are not listed are not
  /// limited.
  void set_prepaid(std::map<std::string, std::uint64_t> prepaid);

  /// \brief Reserves the tokens of a request; requests more from the log and from other hosts if
  /// this host's do not cover it.
  [[nodiscard]] reserve_outcome reserve(const token_demand& demand);
  [[nodiscard]] reserve_outcome reserve(const std::string& team, std::uint64_t bound) {
    return reserve({.team = team, .tokens = bound});
  }
  /// \returns the time until this host's promise covers `bound` tokens without the log or other
  /// hosts; nothing if it never does
  [[nodiscard]] std::optional<time_ms> covered_after(const std::string& team,
                                                     std::uint64_t bound) const;
  void settle(const std::string& team, std::uint64_t bound, std::uint64_t used);

  /// \brief Lends tokens to another host.
  /// \returns the number of tokens lent, at most `tokens`
  [[nodiscard]] std::uint64_t lend(const std::string& team, std::uint64_t tokens,
                                   const std::string& borrower = {});
  /// \brief Credits tokens that another host lent.
  void receive(const std::string& team, std::uint64_t tokens);
  /// \returns borrowed tokens that no request uses or waits for
  [[nodiscard]] std::uint64_t idle_loans(const std::string& team) const;
  /// \brief Debits borrowed tokens that are about to be returned.
  /// \returns the number debited, at most the idle ones
  [[nodiscard]] std::uint64_t give_back(const std::string& team, std::uint64_t tokens);
  /// \brief Credits tokens that this host lent and that were returned unused.
  void take_back(const std::string& team, std::uint64_t tokens);

  /// \returns whether the accounts have been read from the log.
  [[nodiscard]] bool loaded() const;
  /// \returns whether the last synchronization with the log succeeded.
  [[nodiscard]] bool log_reachable() const;

  struct team_totals {
    std::uint64_t prepaid{};
    std::uint64_t granted{};  ///< to all hosts
    std::uint64_t used{};     ///< by all hosts, as reported
    std::uint64_t slack{};    ///< that this host may use now
    std::uint64_t lent{};     ///< by this host, and not returned
    std::uint64_t promised{}; ///< that this host may use within ten seconds of its last record
    bool active{false};       ///< requests are expected, here or at another host
  };
  [[nodiscard]] std::map<std::string, team_totals> totals() const;

 private:
  struct partition {
    std::unique_ptr<account_log> log;
    partition_budgets budgets;
    bool loaded{false};
    bool sync_requested{false};  ///< a request waits for the next synchronization
    time_ms due;                 ///< time of the next periodic synchronization
    time_ms synced_at;           ///< end of the last synchronization
    std::uint64_t sync_count{0}; ///< completed synchronizations
    std::map<std::string, std::uint64_t> expected{}; ///< tokens of loans under way, by team
  };

  [[nodiscard]] partition& partition_of(const std::string& team) const;
  [[nodiscard]] std::map<std::string, std::uint64_t> prepaid_of(const partition& part) const;
  [[nodiscard]] time_ms sync_interval(const partition& part) const;
  void request_sync(partition& part);
  /// \returns the partition to synchronize now, or null
  [[nodiscard]] partition* due_partition() const;
  void wait_until_due(std::unique_lock<ordered_mutex>& lock);
  /// \returns whether a synchronization is likely to complete soon
  [[nodiscard]] bool log_is_responsive() const;
  [[nodiscard]] reserve_outcome reserve_from_all_sources(const token_demand& demand,
                                                         std::unique_lock<ordered_mutex>& lock);
  /// \param waiting  the request is among those that wait for loans
  [[nodiscard]] reserve_outcome try_reserve(const token_demand& demand, bool waiting);
  /// \brief Updates what can be done for a request now.
  void inspect(const token_demand& demand, unfunded_request& request) const;
  [[nodiscard]] bool loan_under_way(const partition& part, const std::string& team) const;
  /// \brief Borrows what the waiting requests of the team lack and no loan under way covers.
  void borrow(const token_demand& demand, time_ms until, std::unique_lock<ordered_mutex>& lock);
  void wait_for_tokens(const token_demand& demand, const funding_plan& plan,
                       std::unique_lock<ordered_mutex>& lock);
  /// \brief Returns loans that were kept for teams that send no more requests.
  void return_unused_loans(std::unique_lock<ordered_mutex>& lock);
  void run();
  void run_sync(partition& part, std::unique_lock<ordered_mutex>& lock);
  /// \returns whether the log answered
  bool try_sync(partition& part, bool leaving);
  void sync_partition(partition& part, bool leaving);
  [[nodiscard]] bool needs_prompt_sync(const partition& part) const;
  [[nodiscard]] std::size_t holding_hosts_of(const partition& part) const;
  void catch_up(partition& part);
  void add_missed_deletions(const partition& part, account_page& newest) const;
  void restore_overwritten(partition& part, const account_page& history,
                           const std::vector<entry_fault>& faults);
  /// \param history  the records that the log retains; nothing if the page continues the last one
  void apply_faults(partition& part, const account_page& page,
                    const std::optional<account_page>& history);
  void apply_fault(partition& part, const account_owner& owner,
                   const std::optional<account_page>& history);
  void apply_budget_fault(partition& part, const std::string& team,
                          const std::optional<account_page>& history);
  /// \returns false if the log had grown since it was read
  [[nodiscard]] bool append_planned(partition& part, bool leaving);
  void restate_start(partition& part);
  void log_write_offs(const partition& part);
  void apply_own_record(partition& part, const account_record& record, std::uint64_t end);
  void set_log_reachable(bool reachable, const char* reason);

  prepaid_options options_;
  const fleet_clock& time_;
  entry_faults& faults_;
  structured_log& log_;
  mutable ordered_mutex mutex_{lock_rank::budgets};
  std::condition_variable_any wake_;   ///< notifies the synchronization thread of new work
  std::condition_variable_any synced_; ///< notifies waiting requests after a synchronization
  std::vector<std::unique_ptr<partition>> partitions_;
  std::map<std::string, std::uint64_t> prepaid_;
  borrow_function borrow_;
  return_function return_idle_;
  random_source random_;
  std::optional<time_ms> sync_began_; ///< start of the synchronization in progress
  bool reachable_{false};
  bool stopping_{false};
  bool ended_{false};
  bool final_sync_succeeded_{false}; ///< the final synchronization of all partitions succeeded
  std::thread sync_thread_;
};

} // namespace sedgechute
