#include "log_model.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

using namespace sedgechute;

namespace {

/// A log shared by the budget managers of a test, which can become unavailable to all of them.
struct shared_log {
  std::mutex mutex;
  log_model log;
  std::atomic<bool> unavailable{false};
  std::atomic<bool> appends_refused{false}; ///< as if another host appended first each time
  std::atomic<bool> appends_lost{false};    ///< neither applied nor answered
  std::vector<entry_fault> faults;          ///< of records that cannot be read; set before use
  std::atomic<int> appends{0};
  std::atomic<int> reads{0};
};

class shared_account_log final : public account_log {
 public:
  explicit shared_account_log(shared_log& shared) : shared_{shared} {}

  account_page newest() override { return read(0); }
  account_page retained() override { return read(0); }

  account_page read(std::uint64_t from) override {
    check();
    ++shared_.reads;
    const std::scoped_lock lock{shared_.mutex};
    account_page page;
    page.end = shared_.log.end();
    page.records.assign(shared_.log.records.begin() + static_cast<std::ptrdiff_t>(from),
                        shared_.log.records.end());
    page.faults = shared_.faults;
    return page;
  }

  std::optional<std::uint64_t> append_at(std::uint64_t end,
                                         const std::vector<account_record>& records) override {
    check();
    const std::scoped_lock lock{shared_.mutex};
    ++shared_.appends;
    if (shared_.appends_lost)
      throw error{error_kind::log_unavailable, "log", "does not answer"};
    if (shared_.appends_refused || !shared_.log.append_at(end, records))
      return std::nullopt;
    return shared_.log.end();
  }

 private:
  void check() const {
    if (shared_.unavailable)
      throw error{error_kind::log_unavailable, "log", "is away"};
  }

  shared_log& shared_;
};

struct manager_fixture {
  manager_fixture(shared_log& shared, const std::string& host, std::uint64_t incarnation)
      : log{{.host = host, .file = "/dev/null"}},
        manager{{host, incarnation}, prepaid_options{}, logs(shared), time, faults, log} {
    manager.set_prepaid({{"team-a", 100000}});
    manager.start();
    for (int i = 0; i < 500 && !manager.loaded(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }

  static std::vector<std::unique_ptr<account_log>> logs(shared_log& shared) {
    std::vector<std::unique_ptr<account_log>> all;
    all.push_back(std::make_unique<shared_account_log>(shared));
    return all;
  }

  boot_clock since_start;
  fleet_clock time{since_start};
  structured_log log;
  metrics figures{"desk-test"};
  entry_faults faults{log, figures};
  budget_manager manager;
};

/// \returns whether every request is refused while the host attempts appends
bool serves_nothing(shared_log& shared, budget_manager& manager) {
  const int tried = shared.appends;
  bool nothing = true;
  for (int i = 0; i < 500 && shared.appends < tried + 3; ++i) {
    nothing = nothing && manager.reserve("team-a", 100) != reserve_outcome::reserved;
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  REQUIRE(shared.appends >= tried + 3);
  return nothing && manager.totals()["team-a"].granted == 0;
}

/// Retries like a caller that is refused for now.
reserve_outcome reserve_with_retries(budget_manager& manager, const std::string& team,
                                     std::uint64_t bound) {
  reserve_outcome outcome = manager.reserve(team, bound);
  for (int i = 0; i < 100 && outcome == reserve_outcome::short_here; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    outcome = manager.reserve(team, bound);
  }
  return outcome;
}

} // namespace

TEST_CASE("a request gets tokens from the log") {
  shared_log shared;
  manager_fixture host{shared, "desk-1", 1};
  REQUIRE(host.manager.loaded());
  CHECK(reserve_with_retries(host.manager, "team-a", 5000) == reserve_outcome::reserved);
  CHECK(reserve_with_retries(host.manager, "team-a", 200000) == reserve_outcome::exhausted);
}

TEST_CASE("a team without a budget is not held to one") {
  shared_log shared;
  manager_fixture host{shared, "desk-2", 1};
  CHECK(host.manager.reserve("team-b", 1U << 30U) == reserve_outcome::reserved);
}

// The log is unreachable. Requests are served from the tokens that the host holds; a larger request
// is refused at once and not after a timeout.
TEST_CASE("a host that is cut off serves what it holds and refuses the rest") {
  shared_log shared;
  manager_fixture host{shared, "desk-3", 1};
  REQUIRE(reserve_with_retries(host.manager, "team-a", 5000) == reserve_outcome::reserved);
  shared.unavailable = true;
  for (int i = 0; i < 500 && host.manager.log_reachable(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  REQUIRE_FALSE(host.manager.log_reachable());
  CHECK(host.manager.reserve("team-a", 100) == reserve_outcome::reserved);
  CHECK(host.manager.reserve("team-a", 90000) == reserve_outcome::short_here);
}

// Each time a host requests tokens another host appends first, so its own record is not in the log.
// The tokens may be granted to the other host: it has none until its own record is in the log.
TEST_CASE("an append that the log refused grants nothing") {
  shared_log shared;
  shared.appends_refused = true;
  manager_fixture host{shared, "desk-8", 1};
  REQUIRE(host.manager.loaded());
  CHECK(serves_nothing(shared, host.manager));
  shared.appends_refused = false;
  CHECK(reserve_with_retries(host.manager, "team-a", 100) == reserve_outcome::reserved);
}

// The answer to a host's append is lost. The record may be in the log or not, and here it is not:
// the host has no tokens until it has read its record in the log.
TEST_CASE("an append without an answer grants nothing") {
  shared_log shared;
  shared.appends_lost = true;
  manager_fixture host{shared, "desk-9", 1};
  REQUIRE(host.manager.loaded());
  CHECK(serves_nothing(shared, host.manager));
  shared.appends_lost = false;
  CHECK(reserve_with_retries(host.manager, "team-a", 100) == reserve_outcome::reserved);
}

// A host starts after another program overwrote the newest account of a host that it does not know.
// That host may hold the whole budget, so none of it is granted again.
TEST_CASE("a budget manager that cannot read an account takes no tokens beside it") {
  shared_log shared;
  shared.faults = {{account_key("team-a", "other"), "not an account"}};
  manager_fixture host{shared, "desk-10", 1};
  REQUIRE(host.manager.loaded());
  for (int i = 0; i < 5; ++i)
    CHECK(host.manager.reserve("team-a", 100) == reserve_outcome::short_here);
  CHECK(host.manager.totals()["team-a"].granted == 0);
}

// One host stops while another serves. The tokens that the first did not use are available to the
// second.
TEST_CASE("the unused tokens of a stopped host are available to other hosts") {
  shared_log shared;
  {
    manager_fixture leaving{shared, "desk-4", 1};
    REQUIRE(reserve_with_retries(leaving.manager, "team-a", 40000) == reserve_outcome::reserved);
    leaving.manager.settle("team-a", 40000, 0);
  }
  manager_fixture staying{shared, "desk-5", 2};
  CHECK(reserve_with_retries(staying.manager, "team-a", 100000) == reserve_outcome::reserved);
}

// A host exits while the log is unreachable. Its last log line must not say that tokens were
// returned.
TEST_CASE("a budget manager that could not return its tokens reports it") {
  shared_log shared;
  manager_fixture a{shared, "a", 1};
  REQUIRE(reserve_with_retries(a.manager, "team-a", 100) == reserve_outcome::reserved);
  a.manager.settle("team-a", 100, 100);
  shared.unavailable = true;
  CHECK_FALSE(a.manager.finish(time_ms{1000}));
}

// Forty hosts ask one holder for more than it has promised at almost the same time. A record per
// request would make most appends of all holders fail; a few records a second cover them all.
TEST_CASE("a holder that is asked for more than it promised writes some records a second") {
  shared_log shared;
  manager_fixture host{shared, "desk-6", 1};
  REQUIRE(reserve_with_retries(host.manager, "team-a", 100) == reserve_outcome::reserved);
  const int before = shared.appends;
  const steady_clock time;
  const time_ms began = time.now();
  for (int i = 0; i < 60; ++i) {
    (void)host.manager.lend("team-a", 80000);
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }
  CHECK(shared.appends > before);
  const auto pauses =
      (time.now() - began).count() / prepaid_options{}.min_unpromised_interval.count();
  CHECK(shared.appends <= before + 3 + pauses);
}

// Two requests of a team arrive at once at a host without tokens. The first has borrowed what it
// needs but has not woken up when the second arrives. Both borrow and both are served: if the
// second took the first one's tokens, the first would be refused without reason.
TEST_CASE("a request does not use tokens that another one has just borrowed") {
  shared_log shared;
  boot_clock since_start;
  fleet_clock time{since_start};
  structured_log log{{.host = "desk-8", .file = "/dev/null"}};
  metrics figures{"desk-test"};
  entry_faults faults{log, figures};
  prepaid_options options;
  options.idle_interval = time_ms{50}; // notices soon that the log is unavailable
  budget_manager manager{
      {"desk-8", 1, {}}, options, manager_fixture::logs(shared), time, faults, log};
  manager.set_holder_predicate([](const std::string&) { return false; });
  int loans = 0;
  reserve_outcome second = reserve_outcome::exhausted;
  manager.set_loan_functions(
      [&](const token_demand& demand, const std::vector<token_holder>&) {
        manager.receive("team-a", demand.tokens);
        if (++loans == 1)
          second = manager.reserve("team-a", 100);
        return demand.tokens;
      },
      nullptr);
  manager.set_prepaid({{"team-a", 100000}});
  manager.start();
  for (int i = 0; i < 500 && !manager.loaded(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  shared.unavailable = true;
  for (int i = 0; i < 500 && manager.log_reachable(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  REQUIRE_FALSE(manager.log_reachable());
  CHECK(manager.reserve("team-a", 100) == reserve_outcome::reserved);
  CHECK(second == reserve_outcome::reserved);
  CHECK(loans == 2);
}

// A host has used all its tokens of a team, and other hosts still ask for some. No record can
// promise them anything, so the log is not read for them either.
TEST_CASE("a holder with nothing left to lend does not read the log for borrowers") {
  shared_log shared;
  manager_fixture host{shared, "desk-9", 1};
  REQUIRE(reserve_with_retries(host.manager, "team-a", 100000) == reserve_outcome::reserved);
  host.manager.settle("team-a", 100000, 100000);
  std::this_thread::sleep_for(std::chrono::milliseconds{200});
  const steady_clock time;
  const time_ms began = time.now();
  const int before = shared.reads.load();
  for (int i = 0; i < 200; ++i) {
    CHECK(host.manager.lend("team-a", 500) == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds{5});
  }
  const auto reports = (time.now() - began).count() / prepaid_options{}.report_interval.count();
  CHECK(shared.reads.load() <= before + 1 + reports);
}

// A host that has just started does not know the other hosts yet and holds no tokens. It must take
// tokens as soon as it learns that it is a holder, not only at its next periodic read of the log.
TEST_CASE("a host that learns that it is a holder takes tokens at once") {
  shared_log shared;
  std::atomic<bool> holds{false};
  boot_clock since_start;
  fleet_clock time{since_start};
  structured_log log{{.host = "desk-7", .file = "/dev/null"}};
  metrics figures{"desk-test"};
  entry_faults faults{log, figures};
  budget_manager manager{
      {"desk-7", 1, {}}, prepaid_options{}, manager_fixture::logs(shared), time, faults, log};
  manager.set_holder_predicate([&](const std::string&) { return holds.load(); });
  manager.set_prepaid({{"team-a", 100000}});
  manager.start();
  for (int i = 0; i < 500 && !manager.loaded(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  std::this_thread::sleep_for(std::chrono::milliseconds{50});
  REQUIRE(shared.appends == 0);
  holds = true;
  manager.on_holders_changed();
  for (int i = 0; i < 100 && shared.appends == 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  CHECK(shared.appends > 0);
}

// A host is cut off from the log just after its last record, which promised little for that time. A
// request that can wait for the later part of the promise must not be refused at once.
TEST_CASE("a request waits for what a host that is cut off promised, as far as it can") {
  shared_log shared;
  manager_fixture host{shared, "desk-10", 1};
  for (int i = 0; i < 100 && host.manager.totals()["team-a"].slack == 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  // A promise grows by what the team used of late.
  for (int i = 0; i < 100 && !host.manager.covered_after("team-a", 60000); ++i) {
    (void)host.manager.reserve("team-a", 500);
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  shared.unavailable = true;
  for (int i = 0; i < 500 && host.manager.log_reachable(); ++i) {
    (void)host.manager.reserve("team-a", 60000);
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  REQUIRE_FALSE(host.manager.log_reachable());
  const auto wait = host.manager.covered_after("team-a", 60000);
  REQUIRE(wait);
  CHECK(host.manager.reserve("team-a", 60000) == reserve_outcome::short_here);
  CHECK(host.manager.reserve(
            {.team = "team-a", .tokens = 60000, .max_promise_wait = time_ms{60000}}) ==
        reserve_outcome::reserved);
  CHECK_FALSE(host.manager.covered_after("team-a", 200000));
}

// All hosts restart after another program overwrote an account. The log still retains the previous
// record.
TEST_CASE("a host that starts finds the account that was overwritten in the log's history") {
  shared_log shared;
  shared.log.records.push_back(
      {"team-a", "desk-11", {.incarnation = 1, .granted = 40000, .used = 1000}});
  shared.faults = {{account_key("team-a", "desk-11"), "is no account"}};
  manager_fixture host{shared, "desk-12", 2};
  REQUIRE(host.manager.loaded());
  CHECK(reserve_with_retries(host.manager, "team-a", 50000) == reserve_outcome::reserved);
  CHECK(host.manager.reserve("team-a", 20000) != reserve_outcome::reserved);
}
