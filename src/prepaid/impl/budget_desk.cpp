#include "prepaid/impl/budget_desk.hpp"

#include "prepaid/impl/holder_choice.hpp"
#include "prepaid/impl/token_wait.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

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
    const time_ms now = time_.now();
    const bool log_may_help =
        log_answers() && part.book.grantable(demand.team, paid->second, demand.tokens);
    const auto covered =
        stopping_ ? std::nullopt : part.book.covered_in(demand.team, demand.tokens, now);
    const auto wait = wait_for_tokens({.now = now,
                                       .began = began,
                                       .exchanges = log_may_help ? exchanges : most_exchanges,
                                       .covered_in = covered,
                                       .patience = demand.patience},
                                      options_.longest_wait);
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

} // namespace sedgechute
