#pragma once

#include "prepaid/prepaid.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sedgechute {

/// \brief Model of the log: conditional appends, lost answers, and appends that are applied late.
struct log_model {
  struct late_append {
    std::uint64_t at{};
    std::vector<account_record> records;
  };

  std::vector<account_record> records;
  std::vector<late_append> unacknowledged;     ///< not answered; may still be applied
  bool ignores_condition{false};               ///< a fault that a test injects
  std::set<std::uint64_t> unreadable;          ///< offsets of records that another program wrote
  std::set<std::uint64_t> overwritten_budgets; ///< the same, under the keys of recorded budgets
  bool overwritten_frees{false};               ///< a fault: a new incarnation ignores such records

  [[nodiscard]] std::uint64_t end() const { return records.size(); }

  [[nodiscard]] bool append_at(std::uint64_t at, const std::vector<account_record>& added) {
    if (at != end() && !ignores_condition)
      return false;
    records.insert(records.end(), added.begin(), added.end());
    return true;
  }

  void apply_late(std::size_t index) {
    const late_append chosen = unacknowledged[index];
    unacknowledged.erase(unacknowledged.begin() + static_cast<std::ptrdiff_t>(index));
    (void)append_at(chosen.at, chosen.records);
  }

  /// \brief Another program overwrites a host's account.
  void overwrite(const std::string& team, const std::string& host) {
    unreadable.insert(end());
    records.push_back({team, host, {}});
  }

  /// \brief Another program overwrites a team's recorded budget.
  void overwrite_budget(const std::string& team) {
    overwritten_budgets.insert(end());
    records.push_back({team, "", {}});
  }

  void read_into(partition_budgets& budgets, time_ms now) const {
    for (std::uint64_t i = budgets.end(); i < records.size(); ++i) {
      read_one(budgets, i, now);
      if (unreadable.contains(i) && !overwritten_frees)
        budgets.note_overwritten(records[i].team, records[i].host, now);
      if (overwritten_budgets.contains(i))
        budgets.note_unreadable_budget(records[i].team);
      budgets.advance(i + 1);
    }
    budgets.advance(end()); // also if nothing new was read
  }

  /// \brief Reads like a host that has just started: the newest record of each host.
  void read_newest_into(partition_budgets& budgets, time_ms now) const {
    std::map<std::string, std::uint64_t> newest;
    std::map<std::string, std::uint64_t> newest_budgets;
    for (std::uint64_t i = 0; i < records.size(); ++i) {
      newest[account_key(records[i].team, records[i].host)] = i;
      if (records[i].recorded_budget || overwritten_budgets.contains(i))
        newest_budgets[records[i].team] = i;
    }
    for (const auto& [team, at] : newest_budgets) {
      if (overwritten_budgets.contains(at))
        budgets.note_unreadable_budget(team);
      else
        budgets.apply(budget_record{team, *records[at].recorded_budget});
    }
    for (const auto& [key, at] : newest) {
      read_account(budgets, at, now);
      if (unreadable.contains(at) && !overwritten_frees)
        budgets.note_unreadable(records[at].team, records[at].host, now);
    }
    budgets.advance(end());
  }

  /// \brief Reads like a host that has just started and finds unreadable accounts: it searches the
  /// records from `first` on for the last readable ones.
  void read_newest_and_history_into(partition_budgets& budgets, std::uint64_t first,
                                    time_ms now) const {
    for (std::uint64_t i = first; i < records.size(); ++i)
      if (!is_foreign(i))
        budgets.apply(records[i], 0, now);
    read_newest_into(budgets, now);
  }

  /// \brief Reads like a host that has missed records, and finds those from `first` on retained.
  void read_after_gap_into(partition_budgets& budgets, std::uint64_t first, time_ms now) const {
    std::set<std::string> in_history;
    for (std::uint64_t i = first; i < records.size(); ++i) {
      if (is_foreign(i))
        continue;
      in_history.insert(account_key(records[i].team, records[i].host));
      if (records[i].recorded_budget)
        in_history.insert(budget_key(records[i].team));
    }
    for (std::uint64_t i = 0; i < records.size(); ++i) {
      const std::string key = account_key(records[i].team, records[i].host);
      if (unreadable.contains(i) && !in_history.contains(key))
        budgets.forget_account(records[i].team, records[i].host);
      if (overwritten_budgets.contains(i) && !in_history.contains(budget_key(records[i].team)))
        budgets.forget_budget(records[i].team);
    }
    read_newest_and_history_into(budgets, first, now);
  }

 private:
  // As it stands under its key: the budget that was recorded with it has a key of its own.
  void read_account(partition_budgets& budgets, std::uint64_t at, time_ms now) const {
    const account_record& record = records[at];
    if (!is_foreign(at))
      budgets.apply({record.team, record.host, record.value}, at + 1, now);
  }

  [[nodiscard]] bool is_foreign(std::uint64_t at) const {
    return unreadable.contains(at) || overwritten_budgets.contains(at);
  }

  void read_one(partition_budgets& budgets, std::uint64_t at, time_ms now) const {
    if (!is_foreign(at))
      budgets.apply(records[at], at + 1, now);
  }
};

} // namespace sedgechute
