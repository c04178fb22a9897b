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
  std::vector<late_append> unacknowledged; ///< not answered; may still be applied
  bool ignores_condition{false};           ///< a fault that a test injects
  std::set<std::uint64_t> unreadable;      ///< offsets of records that another program wrote
  bool overwritten_frees{false};           ///< a fault: a new incarnation ignores such records

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

  void read_into(partition_budgets& budgets, time_ms now) const {
    for (std::uint64_t i = budgets.end(); i < records.size(); ++i) {
      read_one(budgets, i, now);
      if (unreadable.contains(i) && !overwritten_frees)
        budgets.note_overwritten(records[i].team, records[i].host, now);
      budgets.advance(i + 1);
    }
    budgets.advance(end()); // also if nothing new was read
  }

  /// \brief Reads like a host that has just started: the newest record of each host.
  void read_newest_into(partition_budgets& budgets, time_ms now) const {
    std::map<std::string, std::uint64_t> newest;
    for (std::uint64_t i = 0; i < records.size(); ++i)
      newest[account_key(records[i].team, records[i].host)] = i;
    for (const auto& [key, at] : newest) {
      read_one(budgets, at, now);
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
      if (!unreadable.contains(i))
        budgets.apply(records[i], 0, now);
    read_newest_into(budgets, now);
  }

 private:
  void read_one(partition_budgets& budgets, std::uint64_t at, time_ms now) const {
    if (!unreadable.contains(at))
      budgets.apply(records[at], at + 1, now);
  }
};

} // namespace sedgechute
