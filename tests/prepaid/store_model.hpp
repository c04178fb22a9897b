#pragma once

#include "prepaid/prepaid.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sedgechute {

/// \brief Model of a topic of accounts in the platform's store: the newest record of each key is
/// kept for good, older ones until the store forgets them, and other programs write too.
/// Thread-safe.
class store_model {
 public:
  [[nodiscard]] std::uint64_t end() const {
    const std::scoped_lock lock{mutex_};
    return entries_.size();
  }

  /// \brief Appends an account as its host does.
  void append(const account_record& record) {
    const std::scoped_lock lock{mutex_};
    entries_.push_back({account_key(record.team, record.host), record});
  }

  /// \brief Another program overwrites the record under a key.
  void overwrite(const std::string& key) {
    const std::scoped_lock lock{mutex_};
    entries_.push_back({key, std::nullopt});
  }

  /// \brief Deletes all records that are not the newest of their key.
  void forget_history() {
    const std::scoped_lock lock{mutex_};
    first_ = entries_.size();
  }

  /// \brief All of the above at one moment: a host's account grows, is overwritten and forgotten,
  /// and so is the budget that is recorded with it.
  void lose(const account_record& record) {
    const std::scoped_lock lock{mutex_};
    add(record);
    entries_.push_back({account_key(record.team, record.host), std::nullopt});
    if (record.recorded_budget)
      entries_.push_back({budget_key(record.team), std::nullopt});
    first_ = entries_.size();
  }

  /// \brief The same, but another program deletes the account.
  /// \param kept  records that the store retains before the deletion
  void lose_by_deletion(const account_record& record, std::uint64_t kept = 0) {
    const std::scoped_lock lock{mutex_};
    add(record);
    const std::string key = account_key(record.team, record.host);
    for (entry& one : entries_)
      one.deleted = one.deleted || one.key == key;
    first_ = entries_.size() - kept;
  }

  /// \returns a team's recorded budget, or nothing if there is none that can be read
  [[nodiscard]] std::optional<budget_record> newest_budget_of(const std::string& team) const {
    const std::scoped_lock lock{mutex_};
    const auto at = std::find_if(entries_.rbegin(), entries_.rend(),
                                 [&](const entry& one) { return one.key == budget_key(team); });
    return at == entries_.rend() ? std::nullopt : at->budget;
  }

  /// \returns the newest account of a host, or nothing if there is none that can be read
  [[nodiscard]] std::optional<account> newest_of(const std::string& team,
                                                 const std::string& host) const {
    const std::scoped_lock lock{mutex_};
    const auto at = std::find_if(entries_.rbegin(), entries_.rend(), [&](const entry& one) {
      return one.key == account_key(team, host);
    });
    return at == entries_.rend() || !at->record ? std::nullopt : std::optional{at->record->value};
  }

  [[nodiscard]] account_page newest() const {
    const std::scoped_lock lock{mutex_};
    std::map<std::string, const entry*> newest;
    for (const entry& one : entries_)
      if (!one.deleted)
        newest[one.key] = &one;
    account_page page;
    page.end = entries_.size();
    for (const auto& [key, one] : newest)
      add(page, *one);
    return page;
  }

  [[nodiscard]] account_page retained() const {
    const std::scoped_lock lock{mutex_};
    account_page page = page_from(first_);
    page.from_start = first_ == 0;
    return page;
  }

  [[nodiscard]] account_page read(std::uint64_t from) const {
    const std::scoped_lock lock{mutex_};
    if (from >= first_)
      return page_from(from);
    account_page page;
    page.history_lost = true;
    return page;
  }

  [[nodiscard]] std::optional<std::uint64_t> append_at(std::uint64_t end,
                                                       const std::vector<account_record>& records) {
    const std::scoped_lock lock{mutex_};
    if (end != entries_.size())
      return std::nullopt;
    for (const account_record& record : records)
      add(record);
    return entries_.size();
  }

 private:
  struct entry {
    std::string key;
    std::optional<account_record> record; ///< nothing in what other programs wrote
    std::optional<budget_record> budget{};
    bool deleted{false}; ///< no longer the newest record of its key
  };

  void add(const account_record& record) {
    entries_.push_back(
        {account_key(record.team, record.host), {{record.team, record.host, record.value}}});
    if (record.recorded_budget)
      entries_.push_back({budget_key(record.team), std::nullopt,
                          budget_record{record.team, *record.recorded_budget}});
  }

  static void add(account_page& page, const entry& one) {
    if (one.budget)
      return page.budgets.push_back(*one.budget);
    if (!one.record)
      return page.faults.push_back({one.key, "is not a valid account"});
    for (entry_fault& fault : page.faults)
      fault.superseded = fault.superseded || fault.key == one.key;
    page.records.push_back(*one.record);
  }

  [[nodiscard]] account_page page_from(std::uint64_t from) const {
    account_page page;
    page.end = entries_.size();
    for (std::uint64_t at = from; at < entries_.size(); ++at)
      add(page, entries_[at]);
    return page;
  }

  mutable std::mutex mutex_;
  std::vector<entry> entries_;
  std::uint64_t first_{0}; ///< offset of the oldest record that is retained
};

/// \brief A host's access to a `store_model`.
class store_model_log final : public account_log {
 public:
  explicit store_model_log(store_model& store) : store_{store} {}

  account_page newest() override { return store_.newest(); }
  account_page retained() override { return store_.retained(); }
  account_page read(std::uint64_t from) override { return store_.read(from); }
  std::optional<std::uint64_t> append_at(std::uint64_t end,
                                         const std::vector<account_record>& records) override {
    return store_.append_at(end, records);
  }

 private:
  store_model& store_;
};

} // namespace sedgechute
