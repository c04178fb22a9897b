// The part of the desk that reads and writes the log, on a thread of its own.

#include "prepaid/impl/budget_desk.hpp"

#include <algorithm>
#include <chrono>

namespace sedgechute {

namespace {

// An append fails when another host's came first. With tens of hosts a partition is written some
// tens of times a second, so a few tries find a gap.
constexpr int most_tries = 6;
constexpr std::uint64_t longest_try_pause_ms = 12;
constexpr std::uint64_t more_hosts_a_ms = 3; // the pause grows by a millisecond for so many hosts

// Between tries to reach a log that does not answer.
constexpr time_ms retry_pause{250};

std::chrono::milliseconds to_chrono(time_ms span) {
  return std::chrono::milliseconds{span.count()};
}

} // namespace

// Who holds nothing of a partition has nothing to report, and reads along at leisure.
time_ms budget_desk::interval(const partition& part) const {
  if (!part.book.holds_tokens())
    return options_.idle_interval;
  const std::size_t holders = part.book.holding_hosts(time_.now());
  return options_.report_interval +
         options_.interval_per_holder * static_cast<std::int64_t>(holders - 1);
}

budget_desk::partition* budget_desk::due_partition() const {
  partition* next = nullptr;
  for (const auto& part : partitions_) {
    const bool now_due = time_.now() >= part->due;
    if (part->wanted && reachable_)
      return part.get();
    if (now_due && (next == nullptr || part->due < next->due))
      next = part.get();
  }
  return next;
}

void budget_desk::wait_until_due(std::unique_lock<ordered_mutex>& lock) {
  const auto earliest =
      std::min_element(partitions_.begin(), partitions_.end(),
                       [](const auto& a, const auto& b) { return a->due < b->due; });
  const time_ms pause = std::max((*earliest)->due - time_.now(), time_ms{1});
  wake_.wait_for(lock, to_chrono(pause)); // a partition may become due sooner than it was
}

void budget_desk::run() {
  std::unique_lock lock{mutex_};
  while (!stopping_) {
    if (partition* const part = due_partition())
      run_exchange(*part, lock);
    else
      wait_until_due(lock);
  }
  lock.unlock();
  bool answered = true;
  for (const auto& part : partitions_)
    answered = try_exchange(*part, true) && answered;
  lock.lock();
  ended_ = true;
  handed_back_ = answered;
  cycled_.notify_all();
}

void budget_desk::run_exchange(partition& part, std::unique_lock<ordered_mutex>& lock) {
  part.wanted = false;
  cycle_began_ = time_.now();
  lock.unlock();
  const bool answered = try_exchange(part, false);
  lock.lock();
  cycle_began_.reset();
  ++part.cycles;
  cycled_.notify_all();
  const time_ms now = time_.now();
  part.exchanged = now;
  part.due = now + (answered ? interval(part) : retry_pause);
  if (answered)
    return;
  for (const auto& other : partitions_)
    other->due = std::max(other->due, part.due);
}

bool budget_desk::try_exchange(partition& part, bool leaving) {
  try {
    exchange(part, leaving);
    note_log(true, "");
    return true;
  } catch (const std::exception& failure) {
    note_log(false, failure.what());
    return false;
  }
}

// Who only hands back what it does not hold any more has time, and leaves the log to the others.
bool budget_desk::is_pressed(const partition& part) const {
  const std::scoped_lock lock{mutex_};
  return part.book.is_pressed();
}

std::size_t budget_desk::holding_hosts_of(const partition& part) const {
  const std::scoped_lock lock{mutex_};
  return part.book.holding_hosts(time_.now());
}

void budget_desk::exchange(partition& part, bool leaving) {
  for (int tries = 0; tries < most_tries; ++tries) {
    catch_up(part);
    if (report(part, leaving) || !(leaving || is_pressed(part)))
      return;
    const std::uint64_t longest = longest_try_pause_ms + holding_hosts_of(part) / more_hosts_a_ms;
    const time_ms pause{static_cast<std::int64_t>(1 + random_.below(longest))};
    std::this_thread::sleep_for(to_chrono(pause));
  }
}

void budget_desk::catch_up(partition& part) {
  std::uint64_t from = 0;
  bool whole = true;
  {
    const std::scoped_lock lock{mutex_};
    from = part.book.end();
    whole = !part.loaded;
  }
  account_page page;
  if (!whole) {
    page = part.log->read(from);
    whole = page.history_lost;
  }
  if (whole)
    page = part.log->newest();
  const account_page history =
      whole && !page.faults.empty() ? part.log->retained() : account_page{};
  const std::scoped_lock lock{mutex_};
  restore_overwritten(part, history, page.faults);
  for (const account_record& record : page.records)
    part.book.apply(record, from, time_.now());
  take_faults(part, page, history);
  part.book.advance(page.end);
  if (!part.loaded)
    log_write_offs(part);
  part.loaded = true;
}

// The newest record under a key that cannot be read hides the owner's last one, which the log may
// still keep for a while.
void budget_desk::restore_overwritten(partition& part, const account_page& history,
                                      const std::vector<entry_fault>& faults) {
  for (const account_record& record : history.records) {
    const std::string key = account_key(record.team, record.host);
    if (std::any_of(faults.begin(), faults.end(),
                    [&](const entry_fault& fault) { return fault.key == key; }))
      part.book.apply(record, part.book.end(), time_.now());
  }
}

// After the accounts of the page: what is known of a host from them is known, in whatever order
// they were written.
void budget_desk::take_faults(partition& part, const account_page& page,
                              const account_page& history) {
  for (const account_record& record : page.records)
    faults_.clear(entry_topic::accounts, account_key(record.team, record.host));
  for (const entry_fault& fault : page.faults) {
    faults_.note(entry_topic::accounts, fault.key, fault.why);
    const auto owner = read_account_key(fault.key);
    // No record was ever deleted, and none under this key is an account: its host had none.
    const bool never_written =
        history.from_start && !history.history_lost &&
        std::none_of(history.records.begin(), history.records.end(),
                     [&](const account_record& record) {
                       return account_key(record.team, record.host) == fault.key;
                     });
    if (owner && !never_written)
      part.book.note_unreadable(owner->team, owner->host, time_.now());
  }
}

// The first seconds of a life know only this machine's time of day; the median of the fleet's
// clocks is surer, and leaves less to be written off.
void budget_desk::restate_start(partition& part) {
  if (part.book.started().by_fleet)
    return;
  const machine_moment better = time_.restated(part.book.started());
  if (!better.by_fleet)
    return;
  part.book.restate_start(better);
  log_write_offs(part);
}

void budget_desk::log_write_offs(const partition& part) {
  for (const write_off& one : part.book.write_offs())
    log_.write(severity::info, "earlier_life_written_off", {.team = one.team},
               {{log_field::granted, one.last.granted},
                {log_field::used, one.last.used},
                {log_field::tokens, one.used},
                {log_field::age_ms, one.elapsed ? one.elapsed->count() : -1},
                {log_field::kind,
                 part.book.started().by_fleet ? "clocks of the fleet" : "clock of this machine"}});
}

bool budget_desk::report(partition& part, bool leaving) {
  std::vector<account_record> records;
  std::uint64_t at = 0;
  {
    const std::scoped_lock lock{mutex_};
    restate_start(part);
    records = part.book.plan(prepaid_of(part), time_.moment(), leaving);
    at = part.book.end();
  }
  if (records.empty())
    return true;
  const auto end = part.log->append_at(at, records);
  if (!end)
    return false;
  const std::scoped_lock lock{mutex_};
  for (const account_record& record : records)
    take_own(part, record, *end);
  return true;
}

void budget_desk::take_own(partition& part, const account_record& record, std::uint64_t end) {
  part.book.apply(record, end, time_.now());
  const auto paid = prepaid_.find(record.team);
  const std::uint64_t prepaid = paid == prepaid_.end() ? 0 : paid->second;
  const std::uint64_t all = part.book.granted(record.team);
  log_.write(severity::info, "account_written", {.team = record.team},
             {{log_field::granted, record.value.granted},
              {log_field::used, record.value.used},
              {log_field::rate, record.value.rate},
              {log_field::tokens, prepaid},
              {log_field::free, prepaid > all ? prepaid - all : 0},
              {log_field::offset, end}});
}

void budget_desk::note_log(bool reachable, const char* reason) {
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
