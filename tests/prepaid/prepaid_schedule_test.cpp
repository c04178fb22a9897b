// Random schedules of hosts over one log: requests, reports, lost answers, late appends, kills,
// power losses, jumps of the time of day, restarts, graceful stops, raised budgets, and loans and
// their returns with lost, late and duplicate messages. Invariant: the tokens given to callers
// never exceed the tokens paid for.

#include "log_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace sedgechute;

namespace {

const std::string team = "team-a";
constexpr std::size_t hosts = 4;
constexpr int steps = 400;
constexpr std::size_t most_loans = 12; // small, so that some loans are forgotten

/// Injected faults that the schedules must find.
enum class mutation {
  none,
  restart_keeps_tokens,
  lost_append_counts,
  condition_ignored,
  elapsed_forgotten,        ///< a new incarnation underestimates the elapsed time
  loan_counted_twice,       ///< lent tokens stay usable at the lender
  overwritten_frees,        ///< an overwritten account counts as empty
  return_kept,              ///< returned tokens stay usable at the borrower
  return_credited_twice,    ///< every return is credited, also duplicates and those to a later
                            ///< incarnation
  return_credited_unbounded ///< more tokens are credited than were lent
};

/// Events that a schedule favours.
enum class workload {
  even,
  others_write, ///< other programs overwrite accounts, and new incarnations read the newest records
  budgets_lag,  ///< the same; hosts learn of raised budgets late and miss records, and at times all
                ///< are killed
  in_turns,     ///< one host acts for a while, and reads the log without reporting
};

/// A message about a loan.
struct message {
  bool returned{false}; ///< else lent
  std::size_t from{};
  std::size_t to{};
  std::uint64_t number{};
  std::uint64_t tokens{};
};

/// A machine's clocks: the boot clock, and a time of day that may be set.
struct machine {
  time_ms started;    ///< by true time
  time_ms wall_error; ///< error of its time of day

  [[nodiscard]] clock_reading reading(time_ms now) const {
    return {now - started, time_ms{1000000000} + now + wall_error, false};
  }
};

struct open_request {
  std::size_t host{};
  std::uint64_t bound{};
};

class schedule {
 public:
  schedule(std::uint64_t seed, mutation fault, workload of = workload::even)
      : random_{seed}, fault_{fault}, workload_{of} {
    log_.ignores_condition = fault == mutation::condition_ignored;
    log_.overwritten_frees = fault == mutation::overwritten_frees;
    for (std::size_t i = 0; i < hosts; ++i)
      start(i);
  }

  /// \returns tokens given to callers beyond those paid for
  [[nodiscard]] std::uint64_t run() {
    for (int i = 0; i < steps && spent_ <= paid_; ++i)
      step();
    spend_remaining();
    return spent_ > paid_ ? spent_ - paid_ : 0;
  }

  [[nodiscard]] std::uint64_t spent() const noexcept { return spent_; }

 private:
  [[nodiscard]] time_ms boot(std::size_t host) const { return machines_[host].reading(now_).boot; }

  void start(std::size_t host) {
    clock_reading started = machines_[host].reading(now_);
    if (fault_ == mutation::elapsed_forgotten)
      started = {time_ms{}, started.wall - time_ms{6000}, false};
    const std::uint64_t incarnation =
        fault_ == mutation::restart_keeps_tokens ? host + 1 : ++incarnations_;
    budgets_[host] = std::make_unique<partition_budgets>("h" + std::to_string(host), incarnation,
                                                         started, prepaid_options{});
    if (others_write())
      log_.read_newest_and_history_into(
          *budgets_[host], std::max(forgotten_, random_.below(log_.end() + 1)), boot(host));
    lent_[host] = lent_ledger{most_loans};
    borrowed_[host] = borrowed_ledger{most_loans};
    asked_[host].clear();
  }

  void step() {
    now_ += time_ms{static_cast<std::int64_t>(random_.below(300))};
    const std::size_t host = next_host();
    if (workload_ == workload::in_turns && random_.below(6) == 0)
      return log_.read_into(*budgets_[host], boot(host));
    if (others_write() && random_.below(25) == 0)
      return log_.overwrite(team, "h" + std::to_string(host));
    if (workload_ == workload::budgets_lag && random_.below(40) == 0)
      return lose_account(host);
    if (workload_ == workload::budgets_lag && random_.below(30) == 0)
      return miss_records(host);
    switch (random_.below(20)) {
    case 0:
      return kill(host);
    case 1:
      return settle_one();
    case 2:
      if (!log_.unacknowledged.empty())
        log_.apply_late(random_.below(log_.unacknowledged.size()));
      return;
    case 3:
      if (random_.below(6) == 0)
        raise();
      return;
    case 4:
    case 5:
    case 6:
      return report(host, false);
    case 7:
      if (random_.below(8) == 0) {
        report(host, true);
        kill(host);
      }
      return;
    case 8:
    case 16:
      return borrow(host);
    case 17:
    case 18:
      return give_back(host);
    case 19:
      return deliver_late();
    case 9:
      if (random_.below(6) == 0)
        cut_off(host);
      return;
    case 10:
      if (random_.below(4) == 0)
        machines_[host].wall_error = time_ms{static_cast<std::int64_t>(random_.below(2400)) - 1200};
      return;
    default:
      return request(host);
    }
  }

  [[nodiscard]] bool others_write() const {
    return workload_ == workload::others_write || workload_ == workload::budgets_lag;
  }

  void raise() {
    paid_ += random_.below(2000);
    raised_ = now_;
  }

  /// \returns the budget that a host knows: a raised one after at most `longest_lag`
  [[nodiscard]] std::uint64_t known_budget(std::size_t host) {
    constexpr time_ms longest_lag{2000};
    if (workload_ != workload::budgets_lag || now_ - raised_ > longest_lag || random_.below(3) == 0)
      known_budgets_[host] = paid_;
    return known_budgets_[host];
  }

  // No host is left that knows the account, nor does the log's history show it, and the budget may
  // be raised meanwhile.
  void lose_account(std::size_t host) {
    log_.overwrite(team, "h" + std::to_string(host));
    forgotten_ = log_.end();
    if (random_.below(4) == 0)
      log_.overwrite_budget(team);
    if (random_.below(2) == 0)
      raise();
    for (std::size_t i = 0; i < hosts; ++i)
      end(i);
    if (random_.below(2) == 0)
      raise();
    for (std::size_t i = 0; i < hosts; ++i)
      start(i);
    now_ += time_ms{static_cast<std::int64_t>(random_.below(9000))};
  }

  // The log has deleted records that a host has not read yet.
  void miss_records(std::size_t host) {
    const std::uint64_t unread = log_.end() - budgets_[host]->end();
    if (unread < 2)
      return;
    forgotten_ = std::max(forgotten_, budgets_[host]->end() + 1 + random_.below(unread));
    log_.read_after_gap_into(*budgets_[host], forgotten_, boot(host));
  }

  std::size_t next_host() {
    if (workload_ != workload::in_turns || random_.below(12) == 0)
      turn_ = random_.below(hosts);
    return turn_;
  }

  // The callers of a killed host may have received everything: its open requests count entirely.
  void kill(std::size_t host) {
    if (random_.below(kill_odds_) != 0)
      return;
    end(host);
    start(host);
  }

  void end(std::size_t host) {
    for (const open_request& one : open_)
      if (one.host == host)
        spent_ += one.bound;
    std::erase_if(open_, [&](const open_request& one) { return one.host == host; });
    if (random_.below(2) == 0) // a power loss, which restarts the boot clock
      machines_[host].started = now_ - time_ms{static_cast<std::int64_t>(random_.below(500))};
    now_ += time_ms{static_cast<std::int64_t>(random_.below(2000))};
  }

  // At the end all hosts use all tokens that they can, in small requests: tokens that were credited
  // by mistake show only then.
  void spend_remaining() {
    for (int round = 0; round < 20; ++round) {
      now_ += time_ms{600};
      for (std::size_t host = 0; host < hosts; ++host) {
        report_reliably(host);
        give_back(host);
        for (std::uint64_t bound = 256; bound > 0; bound /= 2)
          while (spent_ <= paid_ && budgets_[host]->reserve(team, paid_, bound, boot(host)) ==
                                        reserve_outcome::reserved) {
            budgets_[host]->settle(team, bound, bound);
            spent_ += bound;
          }
      }
    }
    for (const open_request& one : open_)
      spent_ += one.bound;
  }

  void report_reliably(std::size_t host) {
    log_.read_into(*budgets_[host], boot(host));
    const std::uint64_t at = budgets_[host]->end();
    if (log_.append_at(at,
                       budgets_[host]->plan({{team, paid_}}, machines_[host].reading(now_), false)))
      log_.read_into(*budgets_[host], boot(host));
  }

  void settle_one() {
    if (open_.empty())
      return;
    const std::size_t index = random_.below(open_.size());
    const open_request one = open_[index];
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(index));
    const std::uint64_t used = random_.below(one.bound + 1);
    spent_ += used;
    budgets_[one.host]->settle(team, one.bound, used);
  }

  void request(std::size_t host) {
    const std::uint64_t bound = 1 + random_.below(700);
    partition_budgets& budgets = *budgets_[host];
    budgets.note_request(team, bound, boot(host));
    if (budgets.reserve(team, paid_, bound, boot(host)) == reserve_outcome::reserved) {
      open_.push_back({host, bound});
      return;
    }
    budgets.begin_waiting(team, bound);
    report(host, false);
    budgets.end_waiting(team, bound);
    if (budgets.reserve(team, paid_, bound, boot(host)) == reserve_outcome::reserved)
      open_.push_back({host, bound});
  }

  // The log is unavailable for some seconds, and a host uses the tokens that it holds and promised.
  void cut_off(std::size_t host) {
    for (int i = 0; i < 20; ++i) {
      now_ += time_ms{static_cast<std::int64_t>(random_.below(600))};
      const std::uint64_t bound = 1 + random_.below(300);
      budgets_[host]->note_request(team, bound, boot(host));
      if (budgets_[host]->reserve(team, paid_, bound, boot(host)) == reserve_outcome::reserved)
        open_.push_back({host, bound});
    }
    kill(host);
  }

  [[nodiscard]] static loan_key key_of(std::size_t borrower, std::uint64_t number) {
    return {"h" + std::to_string(borrower), team, number};
  }

  void borrow(std::size_t to) {
    const std::size_t from = random_.below(hosts);
    if (to == from)
      return;
    const std::uint64_t number = ++questions_;
    asked_[to].push_back(number);
    for (std::size_t times = random_.below(6) == 0 ? 2 : 1; times > 0; --times)
      lend(from, to, number);
  }

  void lend(std::size_t from, std::size_t to, std::uint64_t number) {
    const std::uint64_t wanted = random_.below(900);
    const auto before = lent_[from].given(key_of(to, number));
    const std::uint64_t given = before ? *before
                                : fault_ == mutation::loan_counted_twice
                                    ? std::min(wanted, budgets_[from]->slack(team, boot(from)))
                                    : budgets_[from]->lend(team, wanted, boot(from));
    if (!before && given > 0)
      lent_[from].note(key_of(to, number), given);
    send({false, from, to, number, given});
  }

  void give_back(std::size_t from) {
    const std::uint64_t idle = budgets_[from]->idle_loans(team);
    for (const borrowed_loan& loan : borrowed_[from].take(team, idle)) {
      const std::uint64_t tokens = fault_ == mutation::return_kept
                                       ? loan.tokens
                                       : budgets_[from]->give_back(team, loan.tokens);
      send({true, from, static_cast<std::size_t>(std::stoul(loan.lender)), loan.number, tokens});
    }
  }

  // A message that is not lost arrives now, later, or now and again later.
  void send(const message& one) {
    if (random_.below(loss_odds_) == 0)
      return;
    const std::uint64_t fate = random_.below(4);
    if (fate <= 2)
      take(one);
    if (fate >= 2)
      messages_.push_back(one);
  }

  void deliver_late() {
    if (messages_.empty())
      return;
    const std::size_t index = random_.below(messages_.size());
    const message one = messages_[index];
    if (random_.below(3) != 0)
      messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    take(one);
  }

  void take(const message& one) {
    if (one.returned)
      return take_back(one);
    if (std::erase(asked_[one.to], one.number) == 0 || one.tokens == 0)
      return; // no open request of this incarnation
    borrowed_[one.to].note(team, {std::to_string(one.from), one.number, one.tokens});
    budgets_[one.to]->receive(team, one.tokens);
  }

  void take_back(const message& one) {
    std::uint64_t credited = lent_[one.to].close(key_of(one.from, one.number), one.tokens);
    if (fault_ == mutation::return_credited_twice)
      credited = one.tokens;
    if (fault_ == mutation::return_credited_unbounded && credited > 0)
      credited += 100;
    budgets_[one.to]->take_back(team, credited);
  }

  void report(std::size_t host, bool leaving) {
    partition_budgets& budgets = *budgets_[host];
    log_.read_into(budgets, boot(host));
    const std::uint64_t at = budgets.end();
    const auto records =
        budgets.plan({{team, known_budget(host)}}, machines_[host].reading(now_), leaving);
    if (records.empty())
      return;
    switch (random_.below(4)) {
    case 0: // the answer is lost, and the append may be applied late
      log_.unacknowledged.push_back({at, records});
      if (fault_ == mutation::lost_append_counts)
        for (const account_record& record : records)
          budgets.apply(record, budgets.end(), boot(host));
      return;
    case 1: // applied, but the answer is lost
      (void)log_.append_at(at, records);
      return;
    default:
      if (log_.append_at(at, records))
        log_.read_into(budgets, boot(host));
    }
  }

  random_source random_;
  std::uint64_t kill_odds_{2 + random_.below(12)}; ///< a host is killed at one in so many chances
  std::uint64_t loss_odds_{3 + random_.below(30)}; ///< one message in so many is lost
  mutation fault_;
  workload workload_;
  std::size_t turn_{0}; ///< host whose turn it is
  log_model log_;
  std::unique_ptr<partition_budgets> budgets_[hosts];
  machine machines_[hosts];
  std::vector<lent_ledger> lent_{hosts, lent_ledger{most_loans}};
  std::vector<borrowed_ledger> borrowed_{hosts, borrowed_ledger{most_loans}};
  std::vector<std::uint64_t> asked_[hosts]; ///< unanswered requests of this incarnation
  std::vector<message> messages_;           ///< may still arrive, or arrive again
  std::uint64_t questions_{0};
  std::vector<open_request> open_;
  std::uint64_t incarnations_{0};
  std::uint64_t paid_{8000};
  time_ms raised_;             ///< time of the last raise
  std::uint64_t forgotten_{0}; ///< offset from which on the log retains its history
  std::uint64_t known_budgets_[hosts]{paid_, paid_, paid_, paid_};
  std::uint64_t spent_{0};
  time_ms now_{100000};
};

/// \returns the first seed whose schedule exceeds the budget, or 0
std::uint64_t first_failure(mutation fault, std::uint64_t seeds, workload of = workload::even) {
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    if (schedule{seed, fault, of}.run() > 0)
      return seed;
  return 0;
}

} // namespace

TEST_CASE("no schedule gives a team more than it paid for") {
  CHECK(first_failure(mutation::none, 4000) == 0);
}

TEST_CASE("schedules do spend most of a budget") {
  std::uint64_t spent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    schedule one{seed, mutation::none};
    (void)one.run();
    spent += one.spent();
  }
  CHECK(spent / 50 > 4000);
}

// Other programs overwrite the accounts of hosts that run, are cut off, or restart.
TEST_CASE("no schedule in which accounts are overwritten gives a team more than it paid for") {
  CHECK(first_failure(mutation::none, 4000, workload::others_write) == 0);
}

TEST_CASE("schedules in which accounts are overwritten do spend of a budget") {
  std::uint64_t spent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    schedule one{seed, mutation::none, workload::others_write};
    (void)one.run();
    spent += one.spent();
  }
  CHECK(spent / 50 > 2000);
}

// Accounts and recorded budgets are overwritten, all hosts are killed at once, and some learn of
// raised budgets later than others.
TEST_CASE(
    "no schedule in which hosts learn late of raised budgets gives a team more than it paid") {
  CHECK(first_failure(mutation::none, 4000, workload::budgets_lag) == 0);
}

TEST_CASE("schedules in which hosts learn late of raised budgets do spend of a budget") {
  std::uint64_t spent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    schedule one{seed, mutation::none, workload::budgets_lag};
    (void)one.run();
    spent += one.spent();
  }
  CHECK(spent / 50 > 2000);
}

// A host's append is not answered, and no other host writes. The host reads the log again and
// again, and continues with what it finds.
TEST_CASE("no schedule in which hosts act in turns gives a team more than it paid for") {
  CHECK(first_failure(mutation::none, 4000, workload::in_turns) == 0);
}

TEST_CASE("schedules in which hosts act in turns do spend of a budget") {
  std::uint64_t spent = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    schedule one{seed, mutation::none, workload::in_turns};
    (void)one.run();
    spent += one.spent();
  }
  CHECK(spent / 50 > 4000);
}

TEST_CASE("schedules find an overwritten account that frees tokens") {
  CHECK(first_failure(mutation::overwritten_frees, 4000, workload::others_write) != 0);
}

// The schedules are useful only if they find the kinds of faults that they are written for.
TEST_CASE("schedules find grants that count as unused after a restart") {
  CHECK(first_failure(mutation::restart_keeps_tokens, 4000) != 0);
}

TEST_CASE("schedules find a lost append that counts as applied") {
  CHECK(first_failure(mutation::lost_append_counts, 4000) != 0);
}

TEST_CASE("schedules find a log that appends without its condition") {
  CHECK(first_failure(mutation::condition_ignored, 4000) != 0);
}

TEST_CASE("schedules find a new incarnation that underestimates the elapsed time") {
  CHECK(first_failure(mutation::elapsed_forgotten, 4000) != 0);
}

TEST_CASE("schedules find loans that are counted twice") {
  CHECK(first_failure(mutation::loan_counted_twice, 4000) != 0);
}

TEST_CASE("schedules find returned tokens that stay usable") {
  CHECK(first_failure(mutation::return_kept, 4000) != 0);
}

TEST_CASE("schedules find a message of returned tokens that is credited again") {
  CHECK(first_failure(mutation::return_credited_twice, 4000) != 0);
}

TEST_CASE("schedules find more tokens taken back than were lent") {
  CHECK(first_failure(mutation::return_credited_unbounded, 4000) != 0);
}
