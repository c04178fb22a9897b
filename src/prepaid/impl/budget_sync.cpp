// The background thread of `budget_manager`, which reads and writes the log.

#include "prepaid/impl/budget_manager.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace sedgechute {

namespace {

// A conditional append fails if another host appended first. With tens of hosts a partition is
// written some tens of times per second, so a few attempts suffice.
constexpr int max_append_attempts = 6;
constexpr std::uint64_t base_jitter_ms = 12;
constexpr std::uint64_t hosts_per_jitter_ms = 3; // a millisecond more per so many hosts

// Delay between attempts to reach a log that does not answer.
constexpr time_ms log_retry_delay{250};

// Loans that are kept for a team whose callers have moved on are of use elsewhere.
constexpr time_ms kept_loans_check_interval{500};

std::chrono::milliseconds to_chrono(time_ms span) {
  return std::chrono::milliseconds{span.count()};
}

} // namespace

// A host that holds no tokens of a partition has nothing to report and reads it at the idle
// interval.
time_ms budget_manager::sync_interval(const partition& part) const {
  if (!part.budgets.holds_tokens())
    return options_.idle_interval;
  const std::size_t holders = part.budgets.holding_hosts(time_.now());
  return options_.report_interval +
         options_.interval_per_holder * static_cast<std::int64_t>(holders - 1);
}

budget_manager::partition* budget_manager::due_partition() const {
  partition* next = nullptr;
  for (const auto& part : partitions_) {
    const bool now_due = time_.now() >= part->due;
    if (part->sync_requested && reachable_)
      return part.get();
    if (now_due && (next == nullptr || part->due < next->due))
      next = part.get();
  }
  return next;
}

void budget_manager::wait_until_due(std::unique_lock<ordered_mutex>& lock) {
  const auto earliest =
      std::min_element(partitions_.begin(), partitions_.end(),
                       [](const auto& a, const auto& b) { return a->due < b->due; });
  const time_ms pause =
      std::clamp((*earliest)->due - time_.now(), time_ms{1}, kept_loans_check_interval);
  wake_.wait_for(lock, to_chrono(pause)); // notified when a partition becomes due earlier
}

void budget_manager::run() {
  std::unique_lock lock{mutex_};
  while (!stopping_) {
    if (partition* const part = due_partition())
      run_sync(*part, lock);
    else
      wait_until_due(lock);
    if (!stopping_)
      return_unused_loans(lock);
  }
  lock.unlock();
  bool answered = true;
  for (const auto& part : partitions_)
    answered = try_sync(*part, true) && answered;
  lock.lock();
  ended_ = true;
  final_sync_succeeded_ = answered;
  synced_.notify_all();
}

void budget_manager::run_sync(partition& part, std::unique_lock<ordered_mutex>& lock) {
  part.sync_requested = false;
  sync_began_ = time_.now();
  lock.unlock();
  const bool answered = try_sync(part, false);
  lock.lock();
  sync_began_.reset();
  ++part.sync_count;
  synced_.notify_all();
  const time_ms now = time_.now();
  part.synced_at = now;
  part.due = now + (answered ? sync_interval(part) : log_retry_delay);
  if (answered)
    return;
  for (const auto& other : partitions_)
    other->due = std::max(other->due, part.due);
}

bool budget_manager::try_sync(partition& part, bool leaving) {
  try {
    sync_partition(part, leaving);
    set_log_reachable(true, "");
    return true;
  } catch (const std::exception& failure) {
    set_log_reachable(false, failure.what());
    return false;
  }
}

// A host that only returns tokens does not retry a failed append, which leaves the log to the other
// hosts.
bool budget_manager::needs_prompt_sync(const partition& part) const {
  const std::scoped_lock lock{mutex_};
  return part.budgets.needs_prompt_sync();
}

std::size_t budget_manager::holding_hosts_of(const partition& part) const {
  const std::scoped_lock lock{mutex_};
  return part.budgets.holding_hosts(time_.now());
}

void budget_manager::sync_partition(partition& part, bool leaving) {
  for (int tries = 0; tries < max_append_attempts; ++tries) {
    catch_up(part);
    if (append_planned(part, leaving) || !(leaving || needs_prompt_sync(part)))
      return;
    const std::uint64_t longest = base_jitter_ms + holding_hosts_of(part) / hosts_per_jitter_ms;
    const time_ms pause{static_cast<std::int64_t>(1 + random_.below(longest))};
    std::this_thread::sleep_for(to_chrono(pause));
  }
}

void budget_manager::catch_up(partition& part) {
  std::uint64_t from = 0;
  bool whole = true;
  {
    const std::scoped_lock lock{mutex_};
    from = part.budgets.end();
    whole = !part.loaded;
  }
  account_page page;
  if (!whole) {
    page = part.log->read(from);
    whole = page.history_lost;
  }
  if (whole) {
    page = part.log->newest();
    add_missed_deletions(part, page);
  }
  const account_page history =
      whole && !page.faults.empty() ? part.log->retained() : account_page{};
  const std::scoped_lock lock{mutex_};
  restore_overwritten(part, history, page.faults);
  for (const account_record& record : page.records)
    part.budgets.apply(record, from, time_.now());
  for (const budget_record& record : page.budgets)
    part.budgets.apply(record);
  apply_faults(part, page, whole ? std::optional{history} : std::nullopt);
  part.budgets.advance(page.end);
  if (!part.loaded)
    log_write_offs(part);
  part.loaded = true;
}

// The newest records show nothing of a key that was deleted among records that this host missed.
void budget_manager::add_missed_deletions(const partition& part, account_page& newest) const {
  std::set<std::string> keys;
  for (const account_record& record : newest.records)
    keys.insert(account_key(record.team, record.host));
  for (const budget_record& record : newest.budgets)
    keys.insert(budget_key(record.team));
  for (const entry_fault& fault : newest.faults)
    keys.insert(fault.key);
  const std::scoped_lock lock{mutex_};
  for (const std::string& known : part.budgets.known_keys())
    if (!keys.contains(known))
      newest.faults.push_back({known, "was deleted"});
}

// An unreadable newest record under a key hides the owner's last account, which the log may still
// retain.
void budget_manager::restore_overwritten(partition& part, const account_page& history,
                                         const std::vector<entry_fault>& faults) {
  for (const account_record& record : history.records) {
    const std::string key = account_key(record.team, record.host);
    if (std::any_of(faults.begin(), faults.end(),
                    [&](const entry_fault& fault) { return fault.key == key; }))
      part.budgets.apply(record, part.budgets.end(), time_.now());
  }
  for (const budget_record& record : history.budgets)
    part.budgets.apply(record);
}

// Called after the accounts of the page were applied, so that a host with a readable account counts
// as known whatever the order of the records.
void budget_manager::apply_faults(partition& part, const account_page& page,
                                  const std::optional<account_page>& history) {
  for (const account_record& record : page.records)
    faults_.clear(entry_topic::accounts, account_key(record.team, record.host));
  for (const budget_record& record : page.budgets)
    faults_.clear(entry_topic::accounts, budget_key(record.team));
  for (const entry_fault& fault : page.faults) {
    faults_.note(entry_topic::accounts, fault.key, fault.why);
    if (fault.superseded)
      faults_.clear(entry_topic::accounts, fault.key);
    else if (const auto team = read_budget_key(fault.key))
      apply_budget_fault(part, *team, history);
    else if (const auto owner = read_account_key(fault.key))
      apply_fault(part, *owner, history);
  }
}

void budget_manager::apply_fault(partition& part, const account_owner& owner,
                                 const std::optional<account_page>& history) {
  const bool in_history =
      history && std::any_of(history->records.begin(), history->records.end(),
                             [&](const account_record& record) {
                               return record.team == owner.team && record.host == owner.host;
                             });
  // If no record was ever deleted, the host had no account unless the history shows one.
  const bool all_known = !history || (history->from_start && !history->history_lost);
  if (all_known)
    return part.budgets.note_overwritten(owner.team, owner.host, time_.now());
  if (!in_history && part.loaded)
    part.budgets.forget_account(owner.team, owner.host);
  part.budgets.note_unreadable(owner.team, owner.host, time_.now());
}

void budget_manager::apply_budget_fault(partition& part, const std::string& team,
                                        const std::optional<account_page>& history) {
  const bool in_history =
      history && std::any_of(history->budgets.begin(), history->budgets.end(),
                             [&](const budget_record& record) { return record.team == team; });
  if (history && !in_history)
    part.budgets.forget_budget(team);
  else
    part.budgets.note_unreadable_budget(team);
}

// In the first seconds of an incarnation only this machine's time of day is known. The median of
// the fleet's clocks is more reliable, so less has to be written off.
void budget_manager::restate_start(partition& part) {
  if (part.budgets.started().from_median)
    return;
  const clock_reading better = time_.restated(part.budgets.started());
  if (!better.from_median)
    return;
  part.budgets.restate_start(better);
  log_write_offs(part);
}

void budget_manager::log_write_offs(const partition& part) {
  for (const write_off& one : part.budgets.write_offs())
    log_.write(severity::info, "earlier_life_written_off", {.team = one.team},
               {{log_field::granted, one.last.granted},
                {log_field::used, one.last.used},
                {log_field::tokens, one.used},
                {log_field::age_ms, one.elapsed ? one.elapsed->count() : -1},
                {log_field::kind, part.budgets.started().from_median ? "clocks of the fleet"
                                                                     : "clock of this machine"}});
}

bool budget_manager::append_planned(partition& part, bool leaving) {
  std::vector<account_record> records;
  std::uint64_t at = 0;
  {
    const std::scoped_lock lock{mutex_};
    restate_start(part);
    records = part.budgets.plan(prepaid_of(part), time_.reading(), leaving);
    at = part.budgets.end();
  }
  if (records.empty())
    return true;
  const auto end = part.log->append_at(at, records);
  if (!end)
    return false;
  const std::scoped_lock lock{mutex_};
  for (const account_record& record : records)
    apply_own_record(part, record, *end);
  return true;
}

void budget_manager::apply_own_record(partition& part, const account_record& record,
                                      std::uint64_t end) {
  const std::uint64_t recorded = part.budgets.recorded_budget(record.team).value_or(0);
  const bool written_off = part.budgets.is_unreadable(record.team, record.host);
  const auto before = part.budgets.account_of(record.team, record.host);
  part.budgets.apply(record, end, time_.now());
  const auto paid = prepaid_.find(record.team);
  const std::uint64_t prepaid = paid == prepaid_.end() ? 0 : paid->second;
  const std::uint64_t all = part.budgets.granted(record.team);
  if (written_off)
    log_.write(severity::warning, "unreadable_account_written_off", {.team = record.team},
               {{log_field::entry, record.host},
                {log_field::granted, record.value.granted},
                {log_field::recorded, recorded},
                {log_field::tokens, prepaid},
                {log_field::offset, end}});
  else if (record.host != part.budgets.host() && before && before->granted > record.value.granted)
    note_reclaim(record, before->granted, end);
  else if (record.host != part.budgets.host())
    log_.write(severity::info, "overwritten_account_restored", {.team = record.team},
               {{log_field::entry, record.host},
                {log_field::granted, record.value.granted},
                {log_field::used, record.value.used},
                {log_field::offset, end}});
  if (record.host != part.budgets.host())
    return;
  log_.write(severity::info, "account_written", {.team = record.team},
             {{log_field::granted, record.value.granted},
              {log_field::used, record.value.used},
              {log_field::rate, record.value.rate},
              {log_field::tokens, prepaid},
              {log_field::free, prepaid > all ? prepaid - all : 0},
              {log_field::offset, end}});
}

void budget_manager::note_reclaim(const account_record& record, std::uint64_t before,
                                  std::uint64_t end) {
  const std::uint64_t freed = before - record.value.granted;
  log_.write(severity::info, "silent_account_reclaimed", {.team = record.team},
             {{log_field::entry, record.host},
              {log_field::granted, before},
              {log_field::used, record.value.used},
              {log_field::tokens, freed},
              {log_field::offset, end}});
  if (reclaimed_)
    reclaimed_(freed);
}

void budget_manager::set_log_reachable(bool reachable, const char* reason) {
  const std::scoped_lock lock{mutex_};
  if (reachable == reachable_)
    return;
  reachable_ = reachable;
  if (reachable)
    log_.write(severity::info, "budget_log_reachable");
  else
    log_.write(severity::warning, "budget_log_unreachable", {},
               {{log_field::reason, std::string_view{reason}}});
}

} // namespace sedgechute
