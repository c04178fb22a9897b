#pragma once

#include "kernel/kernel.hpp"
#include "prepaid/impl/account_log.hpp"
#include "prepaid/impl/prepaid_book.hpp"
#include "telemetry/telemetry.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sedgechute {

/// \brief Who keeps the accounts of this host: its life and its name.
struct desk_owner {
  std::string host;
  std::uint64_t incarnation{};
};

/// \brief Takes tokens from teams' budgets for requests, and keeps this host's accounts in the log
/// on a thread of its own. Thread-safe.
class budget_desk {
 public:
  /// \param logs  one for each partition; a team's accounts lie in the partition of its name
  budget_desk(const desk_owner& owner, const prepaid_options& options,
              std::vector<std::unique_ptr<account_log>> logs, const clock& time,
              structured_log& log);
  budget_desk(const budget_desk&) = delete;
  budget_desk& operator=(const budget_desk&) = delete;
  ~budget_desk();

  void start();
  /// \brief Hands back what is not in use, as far as the log can be reached, and stops.
  void stop() noexcept;

  /// \brief What each team has paid for today. Teams that are not named have no budget to keep to.
  void set_prepaid(std::map<std::string, std::uint64_t> prepaid);

  /// \brief Sets `bound` tokens aside; asks the log for more where this host's do not cover it.
  [[nodiscard]] reserve_outcome reserve(const std::string& team, std::uint64_t bound);
  void settle(const std::string& team, std::uint64_t bound, std::uint64_t used);

  /// \returns whether the accounts have been read from the log.
  [[nodiscard]] bool loaded() const;
  /// \returns whether the last exchange with the log succeeded.
  [[nodiscard]] bool log_reachable() const;

  /// \returns hosts that keep accounts, this one included
  [[nodiscard]] std::size_t hosts() const;

  struct team_figures {
    std::uint64_t prepaid{};
    std::uint64_t granted{}; ///< to all hosts
    std::uint64_t used{};    ///< by all hosts, as reported
    std::uint64_t slack{};   ///< of this host
  };
  [[nodiscard]] std::map<std::string, team_figures> figures() const;

 private:
  struct partition {
    std::unique_ptr<account_log> log;
    prepaid_book book;
    bool loaded{false};
  };

  [[nodiscard]] partition& partition_of(const std::string& team) const;
  [[nodiscard]] std::map<std::string, std::uint64_t> prepaid_of(const partition& part) const;
  [[nodiscard]] time_ms interval() const;
  void run();
  void run_cycle(bool leaving);
  void exchange(partition& part, bool leaving);
  void catch_up(partition& part);
  /// \returns false when the log had grown meanwhile
  [[nodiscard]] bool report(partition& part, bool leaving);
  void take_own(partition& part, const account_record& record, std::uint64_t end);
  void note_log(bool reachable, const char* reason);

  prepaid_options options_;
  const clock& time_;
  structured_log& log_;
  mutable ordered_mutex mutex_{lock_rank::budgets};
  std::condition_variable_any wake_;   ///< the keeper, when tokens are wanted
  std::condition_variable_any cycled_; ///< requests, after an exchange with the log
  std::vector<std::unique_ptr<partition>> partitions_;
  std::map<std::string, std::uint64_t> prepaid_;
  random_source random_;
  std::uint64_t cycles_{0};
  bool reachable_{false};
  bool wanted_{false};
  bool stopping_{false};
  std::thread keeper_;
};

} // namespace sedgechute
