#include "prepaid/impl/budget_manager.hpp"

#include "prepaid/impl/holder_selection.hpp"
#include "prepaid/impl/token_wait.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sedgechute {

namespace {

// Operators watch what a kill of this host loses; hosts are mostly back sooner.
constexpr time_ms promise_window{10000};

std::chrono::milliseconds to_chrono(time_ms span) {
  return std::chrono::milliseconds{span.count()};
}

} // namespace

budget_manager::budget_manager(const host_identity& owner, const prepaid_options& options,
                               std::vector<std::unique_ptr<account_log>> logs,
                               const fleet_clock& time, entry_faults& faults, structured_log& log)
    : options_{options}, time_{time}, faults_{faults}, log_{log}, random_{owner.incarnation} {
  for (auto& part : logs)
    partitions_.push_back(std::make_unique<partition>(
        partition{std::move(part),
                  partition_budgets{owner.host, owner.incarnation, owner.started, options}}));
}

budget_manager::~budget_manager() {
  stop();
}

void budget_manager::start() {
  sync_thread_ = std::thread{[this] { run(); }};
}

void budget_manager::stop() noexcept {
  {
    const std::scoped_lock lock{mutex_};
    stopping_ = true;
    wake_.notify_all();
    synced_.notify_all();
  }
  if (sync_thread_.joinable())
    sync_thread_.join();
}

bool budget_manager::finish(time_ms most) noexcept {
  std::unique_lock lock{mutex_};
  stopping_ = true;
  return_unused_loans(lock);
  wake_.notify_all();
  return synced_.wait_for(lock, to_chrono(most), [this] { return ended_; }) &&
         final_sync_succeeded_;
}

void budget_manager::set_prepaid(std::map<std::string, std::uint64_t> prepaid) {
  const std::scoped_lock lock{mutex_};
  if (prepaid == prepaid_)
    return;
  prepaid_ = std::move(prepaid);
  for (const auto& part : partitions_)
    request_sync(*part);
}

void budget_manager::set_holder_predicate(const partition_budgets::holder_predicate& holds) {
  for (const auto& part : partitions_)
    part->budgets.set_holder_predicate(holds);
}

void budget_manager::on_holders_changed() {
  const std::scoped_lock lock{mutex_};
  for (const auto& part : partitions_)
    if (part->budgets.needs_prompt_sync() && !part->budgets.holds_tokens())
      request_sync(*part);
}

void budget_manager::request_sync(partition& part) {
  part.sync_requested = true;
  wake_.notify_all();
}

budget_manager::partition& budget_manager::partition_of(const std::string& team) const {
  return *partitions_[account_partition(team, partitions_.size())];
}

std::map<std::string, std::uint64_t> budget_manager::prepaid_of(const partition& part) const {
  std::map<std::string, std::uint64_t> of_part;
  for (const auto& [team, paid] : prepaid_)
    if (&partition_of(team) == &part)
      of_part.emplace(team, paid);
  return of_part;
}

bool budget_manager::log_is_responsive() const {
  const bool stuck = sync_began_ && time_.now() - *sync_began_ > normal_sync_duration;
  return reachable_ && !stopping_ && !stuck;
}

reserve_outcome budget_manager::reserve(const token_demand& demand) {
  reserve_outcome outcome = reserve_outcome::short_here;
  bool idle = false;
  {
    std::unique_lock lock{mutex_};
    partition_budgets& budgets = partition_of(demand.team).budgets;
    budgets.note_request(demand.team, demand.tokens, time_.now());
    outcome = reserve_from_all_sources(demand, lock);
    idle = budgets.idle_loans(demand.team) > 0;
  }
  if (idle && return_idle_)
    return_idle_(demand.team);
  return outcome;
}

std::optional<time_ms> budget_manager::covered_after(const std::string& team,
                                                     std::uint64_t bound) const {
  const std::scoped_lock lock{mutex_};
  return partition_of(team).budgets.covered_after(team, bound, time_.now());
}

// Ungranted tokens come from the log. Tokens that other hosts hold are borrowed, also when the log
// is unavailable or has none left to grant. `plan_funding` says which comes first.
reserve_outcome budget_manager::reserve_from_all_sources(const token_demand& demand,
                                                         std::unique_lock<ordered_mutex>& lock) {
  partition& part = partition_of(demand.team);
  const time_ms began = time_.now();
  unfunded_request request{.now = began,
                           .began = began,
                           .max_wait = demand.max_wait == time_ms{} ? options_.max_log_wait
                                                                    : demand.max_wait,
                           .max_promise_wait = demand.max_promise_wait,
                           .last_loan = {},
                           .covered_after = {}};
  bool waiting = false;
  reserve_outcome outcome = try_reserve(demand, waiting);
  while (outcome == reserve_outcome::short_here && part.loaded) {
    if (!waiting)
      part.budgets.begin_borrowing(demand.team, demand.tokens);
    waiting = true;
    inspect(demand, request);
    const funding_plan plan = plan_funding(request);
    if (plan.step == funding_step::refuse)
      break;
    if (plan.step == funding_step::borrow) {
      borrow(demand, plan.until, lock);
      ++request.loans;
      request.last_loan = time_.now();
    } else {
      request.syncs += plan.step == funding_step::sync ? 1 : 0;
      wait_for_tokens(demand, plan, lock);
    }
    outcome = try_reserve(demand, waiting);
  }
  if (waiting)
    part.budgets.end_borrowing(demand.team, demand.tokens);
  return outcome;
}

// Borrowed tokens belong to the requests that wait for them: a request that has just arrived takes
// only what these leave.
reserve_outcome budget_manager::try_reserve(const token_demand& demand, bool waiting) {
  const auto paid = prepaid_.find(demand.team);
  if (paid == prepaid_.end())
    return reserve_outcome::reserved;
  partition_budgets& budgets = partition_of(demand.team).budgets;
  const time_ms now = time_.now();
  if (!waiting && !budgets.holds(demand.team) &&
      budgets.shortfall(demand.team, demand.tokens, now) > 0)
    return reserve_outcome::short_here;
  return budgets.reserve(demand.team, paid->second, demand.tokens, now);
}

void budget_manager::inspect(const token_demand& demand, unfunded_request& request) const {
  const partition& part = partition_of(demand.team);
  const auto paid = prepaid_.find(demand.team);
  request.now = time_.now();
  request.holds = part.budgets.holds(demand.team);
  request.can_borrow = borrow_ && (!stopping_ || request.loans == 0);
  request.loan_under_way = !stopping_ && loan_under_way(part, demand.team);
  request.log_helps = log_is_responsive() && paid != prepaid_.end() &&
                      part.budgets.grantable(demand.team, paid->second, demand.tokens);
  request.covered_after = stopping_
                              ? std::nullopt
                              : part.budgets.covered_after(demand.team, demand.tokens, request.now);
}

bool budget_manager::loan_under_way(const partition& part, const std::string& team) const {
  const auto expected = part.expected.find(team);
  return expected != part.expected.end() && expected->second > 0 &&
         expected->second >= part.budgets.unfunded(team, time_.now());
}

void budget_manager::borrow(const token_demand& demand, time_ms until,
                            std::unique_lock<ordered_mutex>& lock) {
  partition& part = partition_of(demand.team);
  const time_ms now = time_.now();
  std::uint64_t& expected = part.expected[demand.team];
  const std::uint64_t lacking = part.budgets.unfunded(demand.team, now);
  const std::uint64_t needed = lacking > expected ? lacking - expected : 0;
  if (needed == 0)
    return;
  const std::uint64_t ahead = stopping_ ? 0 : part.budgets.loan_ahead(demand.team, now);
  expected += needed + ahead;
  const std::vector<token_holder> holders = part.budgets.holders(demand.team);
  lock.unlock();
  const std::uint64_t lent = borrow_({.team = demand.team,
                                      .tokens = needed,
                                      .request = demand.request,
                                      .max_wait = std::max(until - now, time_ms{1}),
                                      .ahead = ahead},
                                     holders);
  lock.lock();
  const std::uint64_t missing = needed + ahead > lent ? needed + ahead - lent : 0;
  expected -= std::min(expected, missing);
  synced_.notify_all();
}

void budget_manager::wait_for_tokens(const token_demand& demand, const funding_plan& plan,
                                     std::unique_lock<ordered_mutex>& lock) {
  partition& part = partition_of(demand.team);
  const bool for_log = plan.step == funding_step::sync;
  if (for_log) {
    part.budgets.begin_waiting(demand.team, demand.tokens);
    request_sync(part);
  }
  const std::uint64_t seen = part.sync_count;
  synced_.wait_for(lock, to_chrono(std::max(plan.until - time_.now(), time_ms{})), [&] {
    return stopping_ || (for_log && part.sync_count != seen) ||
           (plan.step == funding_step::join && !loan_under_way(part, demand.team)) ||
           part.budgets.slack(demand.team, time_.now()) >= demand.tokens;
  });
  if (for_log)
    part.budgets.end_waiting(demand.team, demand.tokens);
}

void budget_manager::return_unused_loans(std::unique_lock<ordered_mutex>& lock) {
  std::vector<std::string> idle;
  for (const auto& part : partitions_)
    for (std::string& team : stopping_ ? part->budgets.release_all_loans()
                                       : part->budgets.release_kept_loans(time_.now()))
      idle.push_back(std::move(team));
  if (idle.empty() || !return_idle_)
    return;
  lock.unlock();
  for (const std::string& team : idle)
    return_idle_(team);
  lock.lock();
}

// Borrowed tokens that a request did not use are returned at once, except those for the next second
// of the team's requests here: kept longer they would be unavailable to all other hosts, and lost
// if this host lost power.
void budget_manager::settle(const std::string& team, std::uint64_t bound, std::uint64_t used) {
  bool idle = false;
  {
    const std::scoped_lock lock{mutex_};
    partition_budgets& budgets = partition_of(team).budgets;
    budgets.settle(team, bound, used);
    idle = budgets.idle_loans(team) > 0;
  }
  if (idle && return_idle_)
    return_idle_(team);
}

std::uint64_t budget_manager::lend(const std::string& team, std::uint64_t tokens,
                                   const std::string& borrower) {
  const std::scoped_lock lock{mutex_};
  if (stopping_)
    return 0;
  partition& part = partition_of(team);
  const std::uint64_t given = part.budgets.lend(team, tokens, time_.now(), borrower);
  if (given < tokens && reachable_ && part.budgets.has_unpromised_demand(team)) {
    part.due = std::min(part.due, part.synced_at + options_.min_unpromised_interval);
    wake_.notify_all();
  }
  return given;
}

void budget_manager::receive(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  partition& part = partition_of(team);
  part.budgets.receive(team, tokens);
  std::uint64_t& expected = part.expected[team];
  expected -= std::min(expected, tokens);
  synced_.notify_all();
}

std::uint64_t budget_manager::idle_loans(const std::string& team) const {
  const std::scoped_lock lock{mutex_};
  return partition_of(team).budgets.idle_loans(team);
}

std::uint64_t budget_manager::give_back(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  return partition_of(team).budgets.give_back(team, tokens);
}

void budget_manager::take_back(const std::string& team, std::uint64_t tokens) {
  const std::scoped_lock lock{mutex_};
  partition_of(team).budgets.take_back(team, tokens);
}

bool budget_manager::loaded() const {
  const std::scoped_lock lock{mutex_};
  return std::all_of(partitions_.begin(), partitions_.end(),
                     [](const auto& part) { return part->loaded; });
}

bool budget_manager::log_reachable() const {
  const std::scoped_lock lock{mutex_};
  return reachable_;
}

std::map<std::string, budget_manager::team_totals> budget_manager::totals() const {
  const std::scoped_lock lock{mutex_};
  std::map<std::string, team_totals> all;
  const time_ms now = time_.now();
  for (const auto& [team, paid] : prepaid_) {
    const partition_budgets& budgets = partition_of(team).budgets;
    all[team] = {.prepaid = paid,
                 .granted = budgets.granted(team),
                 .used = budgets.used(team),
                 .slack = budgets.slack(team, now),
                 .lent = budgets.lent(team),
                 .promised = budgets.promised(team, promise_window),
                 .active = budgets.active(team, now)};
  }
  return all;
}

} // namespace sedgechute
