#include "prepaid/impl/budget_desk.hpp"

#include "prepaid/impl/holder_choice.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

// An append fails when another host's came first. With tens of hosts a partition is written some
// tens of times a second, so a few tries find a gap.
constexpr int most_tries = 6;
constexpr std::uint64_t longest_try_pause_ms = 12;
constexpr std::uint64_t more_hosts_a_ms = 3; // the pause grows by a millisecond for so many hosts

// Exchanges with the log that one request waits for: the first may have begun before it came.
constexpr int most_exchanges = 3;

// An exchange takes 15 ms when all is well. One that takes far longer has met a log that is away,
// and its time-out is no time for a request to wait.
constexpr time_ms usual_exchange{120};

// Between tries to reach a log that does not answer.
constexpr time_ms retry_pause{250};

std::chrono::milliseconds to_chrono(time_ms span) {
  return std::chrono::milliseconds{span.count()};
}

} // namespace

budget_desk::budget_desk(const desk_owner& owner, const prepaid_options& options,
                         std::vector<std::unique_ptr<account_log>> logs, const fleet_clock& time,
                         entry_faults& faults, structured_log& log)
    : options_{options}, time_{time}, faults_{faults}, log_{log}, random_{owner.incarnation} {
  for (auto& part : logs)
    partitions_.push_back(std::make_unique<partition>(partition{
        std::move(part), prepaid_book{owner.host, owner.incarnation, owner.started, options}}));
}

budget_desk::~budget_desk() {
  stop();
}

void budget_desk::start() {
  keeper_ = std::thread{[this] { run(); }};
}

void budget_desk::stop() noexcept {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    wake_.notify_all();
    cycled_.notify_all();
  }
  if (keeper_.joinable())
    keeper_.join();
}

bool budget_desk::finish(time_ms most) noexcept {
  std::unique_lock lock{mutex_};
  stopping_ = true;
  wake_.notify_all();
  return cycled_.wait_for(lock, to_chrono(most), [this] { return ended_; }) && handed_back_;
}

void budget_desk::set_prepaid(std::map<std::string, std::uint64_t> prepaid) {
  const std::scoped_lock lock{mutex_};
  if (prepaid == prepaid_)
    return;
  prepaid_ = std::move(prepaid);
  for (const auto& part : partitions_)
    want_exchange(*part);
}

void budget_desk::hold_by(const prepaid_book::holds_team& holds) {
  for (const auto& part : partitions_)
    part->book.hold_by(holds);
}

void budget_desk::review_holding() {
  const std::scoped_lock lock{mutex_};
  for (const auto& part : partitions_)
    if (part->book.is_pressed() && !part->book.holds_tokens())
      want_exchange(*part);
}

void budget_desk::want_exchange(partition& part) {
  part.wanted = true;
  wake_.notify_all();
}

budget_desk::partition& budget_desk::partition_of(const std::string& team) const {
  return *partitions_[account_partition(team, partitions_.size())];
}

std::map<std::string, std::uint64_t> budget_desk::prepaid_of(const partition& part) const {
  std::map<std::string, std::uint64_t> of_part;
  for (const auto& [team, paid] : prepaid_)
    if (&partition_of(team) == &part)
      of_part.emplace(team, paid);
  return of_part;
}

bool budget_desk::log_answers() const {
  const bool stuck = cycle_began_ && time_.now() - *cycle_began_ > usual_exchange;
  return reachable_ && !stopping_ && !stuck;
}

reserve_outcome budget_desk::reserve(const token_demand& demand) {
  reserve_outcome outcome = reserve_outcome::short_here;
  bool idle = false;
  {
    std::unique_lock lock{mutex_};
    prepaid_book& book = partition_of(demand.team).book;
    book.note_request(demand.team, demand.tokens, time_.now());
    outcome = reserve_anywhere(demand, lock);
    idle = book.idle_loans(demand.team) > 0;
  }
  if (idle && give_back_)
    give_back_(demand.team);
  return outcome;
}

std::optional<time_ms> budget_desk::covered_in(const std::string& team, std::uint64_t bound) const {
  const std::scoped_lock lock{mutex_};
  return partition_of(team).book.covered_in(team, bound, time_.now());
}

// What the log has not granted to anyone comes from the log; what other hosts hold comes from them,
// also where the log is away or has nothing left to grant. A host that shall not hold a team's
// tokens asks those that do first: an answer takes some milliseconds, and no record.
reserve_outcome budget_desk::reserve_anywhere(const token_demand& demand,
                                              std::unique_lock<ordered_mutex>& lock) {
  const prepaid_book& book = partition_of(demand.team).book;
  reserve_outcome outcome = reserve_outcome::short_here;
  if (!book.holds(demand.team))
    outcome = reserve_by_loan(demand, lock);
  if (outcome == reserve_outcome::short_here)
    outcome = reserve_by_log(demand, lock);
  if (outcome == reserve_outcome::short_here && book.holds(demand.team))
    outcome = reserve_by_loan(demand, lock);
  return outcome;
}

reserve_outcome budget_desk::reserve_by_loan(const token_demand& demand,
                                             std::unique_lock<ordered_mutex>& lock) {
  partition& part = partition_of(demand.team);
  if (!part.loaded)
    return reserve_outcome::short_here;
  const std::uint64_t missing = part.book.missing(demand.team, demand.tokens, time_.now());
  if (others_ && missing > 0 && prepaid_.contains(demand.team)) {
    const std::vector<token_holder> holders = part.book.holders(demand.team);
    part.book.begin_borrowing(demand.team, demand.tokens);
    lock.unlock();
    (void)others_({demand.team, missing, demand.request}, holders);
    lock.lock();
    part.book.end_borrowing(demand.team, demand.tokens);
  }
  const auto paid = prepaid_.find(demand.team);
  if (paid == prepaid_.end())
    return reserve_outcome::reserved;
  return part.book.reserve(demand.team, paid->second, demand.tokens, time_.now());
}

reserve_outcome budget_desk::reserve_by_log(const token_demand& demand,
                                            std::unique_lock<ordered_mutex>& lock) {
  partition& part = partition_of(demand.team);
  const time_ms began = time_.now();
  for (int exchanges = 0;;) {
    const auto paid = prepaid_.find(demand.team);
    if (paid == prepaid_.end())
      return reserve_outcome::reserved;
    const reserve_outcome outcome =
        part.book.reserve(demand.team, paid->second, demand.tokens, time_.now());
    if (!part.loaded)
      return reserve_outcome::short_here;
    if (outcome != reserve_outcome::short_here)
      return outcome;
    const auto wait = wait_for_tokens(part, demand, began, exchanges);
    if (!wait)
      return outcome;
    if (wait->for_log) {
      ++exchanges;
      part.book.want(demand.team, demand.tokens);
      want_exchange(part);
    }
    const std::uint64_t seen = part.cycles;
    cycled_.wait_for(lock, to_chrono(wait->until - time_.now()),
                     [&] { return (wait->for_log && part.cycles != seen) || stopping_; });
    if (wait->for_log)
      part.book.unwant(demand.team, demand.tokens);
  }
}

// A host that is cut off promised little for the first moments after its last record, and more
// later: a request that can wait for that is not refused.
std::optional<budget_desk::token_wait> budget_desk::wait_for_tokens(const partition& part,
                                                                    const token_demand& demand,
                                                                    time_ms began,
                                                                    int exchanges) const {
  const time_ms now = time_.now();
  const auto paid = prepaid_.find(demand.team);
  const bool by_log = log_answers() && exchanges < most_exchanges &&
                      now < began + options_.longest_wait &&
                      part.book.grantable(demand.team, paid->second, demand.tokens);
  const auto covered = part.book.covered_in(demand.team, demand.tokens, now);
  const bool by_promise = covered && !stopping_ && now + *covered <= began + demand.patience;
  if (!by_log && !by_promise)
    return std::nullopt;
  time_ms until = by_promise ? now + std::max(*covered, time_ms{1}) : began + options_.longest_wait;
  if (by_log)
    until = std::min({until, now + usual_exchange, began + options_.longest_wait});
  return token_wait{until, by_log};
}

// What a request borrowed and did not use goes back at once. Kept for the next request of its team
// it would be missing to all others, and lost when this host loses power.
void budget_desk::settle(const std::string& team, std::uint64_t bound, std::uint64_t used) {
  bool idle = false;
  {
    const std::scoped_lock lock{mutex_};
    prepaid_book& book = partition_of(team).book;
    book.settle(team, bound, used);
    idle = book.idle_loans(team) > 0;
  }
  if (idle && give_back_)
    give_back_(team);
}

std::uint64_t budget_desk::lend(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  if (stopping_)
    return 0;
  partition& part = partition_of(team);
  const std::uint64_t given = part.book.lend(team, tokens, time_.now());
  if (given < tokens && reachable_ && part.book.is_asked(team)) {
    part.due = std::min(part.due, part.exchanged + options_.asked_pause);
    wake_.notify_all();
  }
  return given;
}

void budget_desk::receive(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  partition_of(team).book.receive(team, tokens);
}

std::uint64_t budget_desk::idle_loans(const std::string& team) const {
  const std::scoped_lock lock{mutex_};
  return partition_of(team).book.idle_loans(team);
}

std::uint64_t budget_desk::give_back(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  return partition_of(team).book.give_back(team, tokens);
}

void budget_desk::take_back(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  partition_of(team).book.take_back(team, tokens);
}

bool budget_desk::loaded() const {
  const std::scoped_lock lock{mutex_};
  return std::all_of(partitions_.begin(), partitions_.end(),
                     [](const auto& part) { return part->loaded; });
}

bool budget_desk::log_reachable() const {
  const std::scoped_lock lock{mutex_};
  return reachable_;
}

std::map<std::string, budget_desk::team_figures> budget_desk::figures() const {
  const std::scoped_lock lock{mutex_};
  std::map<std::string, team_figures> all;
  for (const auto& [team, paid] : prepaid_) {
    const prepaid_book& book = partition_of(team).book;
    all[team] = {paid, book.granted(team), book.used(team), book.slack(team, time_.now()),
                 book.lent(team)};
  }
  return all;
}

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
