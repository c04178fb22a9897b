#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/account_log.hpp"
#include "prepaid/impl/fleet_clock.hpp"
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

/// \brief Who keeps the accounts of this host: its life and its name.
struct host_identity {
  std::string host;
  std::uint64_t incarnation{};
  clock_reading started; ///< when this life began
};

/// \brief Tokens that a request needs.
struct token_demand {
  std::string team;
  std::uint64_t tokens{};
  std::string request; ///< its id, for the log; may be empty
  /// Longest wait until what this host promised covers the request, where the log does not answer.
  time_ms max_promise_wait{};
};

/// \brief Takes tokens from teams' budgets for requests, and keeps this host's accounts in the log
/// on a thread of its own. Thread-safe.
class budget_manager {
 public:
  /// \brief Gets tokens for a request from the other hosts that are named; returns how many came in
  /// time.
  using borrow_function = std::function<std::uint64_t(const token_demand& demand,
                                                      const std::vector<token_holder>& from)>;
  /// \brief Gives back to other hosts what they lent of a team's tokens and nobody uses here.
  using return_function = std::function<void(const std::string& team)>;

  /// \param logs  one for each partition; a team's accounts lie in the partition of its name
  budget_manager(const host_identity& owner, const prepaid_options& options,
                 std::vector<std::unique_ptr<account_log>> logs, const fleet_clock& time,
                 entry_faults& faults, structured_log& log);
  budget_manager(const budget_manager&) = delete;
  budget_manager& operator=(const budget_manager&) = delete;
  ~budget_manager();

  /// \brief Before `start`: where to turn when the log cannot help.
  void set_loan_functions(borrow_function borrow, return_function return_idle) {
    borrow_ = std::move(borrow);
    return_idle_ = std::move(return_idle);
  }
  /// \brief Before `start`: for which teams this host shall hold tokens; for all when not set.
  void set_holder_predicate(const partition_budgets::holder_predicate& holds);

  /// \brief The hosts that hold tokens may be others now.
  void on_holders_changed();

  void start();
  /// \brief Hands back what is not in use, as far as the log can be reached, and stops.
  void stop() noexcept;
  /// \brief The same, for a process that ends soon: does not wait for a log that is away.
  /// \returns whether the log took everything within `most`
  [[nodiscard]] bool finish(time_ms most) noexcept;

  /// \brief What each team has paid for today. Teams that are not named have no budget to keep to.
  void set_prepaid(std::map<std::string, std::uint64_t> prepaid);

  /// \brief Sets `bound` tokens aside; asks the log, then other hosts, for more where this host's
  /// do not cover it.
  [[nodiscard]] reserve_outcome reserve(const token_demand& demand);
  [[nodiscard]] reserve_outcome reserve(const std::string& team, std::uint64_t bound) {
    return reserve({.team = team, .tokens = bound});
  }
  /// \returns how long until this host may serve a request without any other host or the log
  [[nodiscard]] std::optional<time_ms> covered_after(const std::string& team,
                                                     std::uint64_t bound) const;
  void settle(const std::string& team, std::uint64_t bound, std::uint64_t used);

  /// \brief Gives tokens to another host.
  /// \returns how many: as many as asked for, or fewer
  [[nodiscard]] std::uint64_t lend(const std::string& team, std::uint64_t tokens);
  /// \brief Takes tokens that another host gave.
  void receive(const std::string& team, std::uint64_t tokens);
  /// \returns tokens that other hosts lent and that no request uses or waits for
  [[nodiscard]] std::uint64_t idle_loans(const std::string& team) const;
  /// \brief Gives up tokens that other hosts lent.
  /// \returns how many: all, or as many as are idle
  [[nodiscard]] std::uint64_t give_back(const std::string& team, std::uint64_t tokens);
  /// \brief Takes tokens that this host lent and that were not used.
  void take_back(const std::string& team, std::uint64_t tokens);

  /// \returns whether the accounts have been read from the log.
  [[nodiscard]] bool loaded() const;
  /// \returns whether the last exchange with the log succeeded.
  [[nodiscard]] bool log_reachable() const;

  struct team_totals {
    std::uint64_t prepaid{};
    std::uint64_t granted{}; ///< to all hosts
    std::uint64_t used{};    ///< by all hosts, as reported
    std::uint64_t slack{};   ///< of this host
    std::uint64_t lent{};    ///< by this host to others, and not given back
  };
  [[nodiscard]] std::map<std::string, team_totals> totals() const;

 private:
  struct partition {
    std::unique_ptr<account_log> log;
    partition_budgets budgets;
    bool loaded{false};
    bool sync_requested{false};  ///< a request waits for the next exchange with the log
    time_ms due;                 ///< of the next exchange, when nobody waits
    time_ms synced_at;           ///< when the last one ended
    std::uint64_t sync_count{0}; ///< exchanges until now
  };

  [[nodiscard]] partition& partition_of(const std::string& team) const;
  [[nodiscard]] std::map<std::string, std::uint64_t> prepaid_of(const partition& part) const;
  [[nodiscard]] time_ms sync_interval(const partition& part) const;
  void request_sync(partition& part);
  /// \returns the partition to exchange with the log now; null when there is none
  [[nodiscard]] partition* due_partition() const;
  void wait_until_due(std::unique_lock<ordered_mutex>& lock);
  /// \returns whether an exchange with the log is likely to bring an answer soon
  [[nodiscard]] bool log_is_responsive() const;
  [[nodiscard]] reserve_outcome reserve_from_all_sources(const token_demand& demand,
                                                         std::unique_lock<ordered_mutex>& lock);
  [[nodiscard]] reserve_outcome reserve_by_loan(const token_demand& demand,
                                                std::unique_lock<ordered_mutex>& lock);
  [[nodiscard]] reserve_outcome reserve_by_log(const token_demand& demand,
                                               std::unique_lock<ordered_mutex>& lock);
  void run();
  void run_sync(partition& part, std::unique_lock<ordered_mutex>& lock);
  /// \returns whether the log answered
  bool try_sync(partition& part, bool leaving);
  void sync_partition(partition& part, bool leaving);
  [[nodiscard]] bool needs_prompt_sync(const partition& part) const;
  [[nodiscard]] std::size_t holding_hosts_of(const partition& part) const;
  void catch_up(partition& part);
  void restore_overwritten(partition& part, const account_page& history,
                           const std::vector<entry_fault>& faults);
  void apply_faults(partition& part, const account_page& page, const account_page& history);
  /// \returns false when the log had grown meanwhile
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
  std::condition_variable_any wake_;   ///< the keeper, when tokens are wanted
  std::condition_variable_any synced_; ///< requests, after an exchange with the log
  std::vector<std::unique_ptr<partition>> partitions_;
  std::map<std::string, std::uint64_t> prepaid_;
  borrow_function borrow_;
  return_function return_idle_;
  random_source random_;
  std::optional<time_ms> sync_began_; ///< of the exchange with the log that is under way
  bool reachable_{false};
  bool stopping_{false};
  bool ended_{false};
  bool handed_back_{false}; ///< all partitions took it
  std::thread sync_thread_;
};

} // namespace sedgechute
