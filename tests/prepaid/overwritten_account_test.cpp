// Budget managers over a store in which another program overwrites accounts.

#include "store_model.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace sedgechute;

namespace {

const std::string team = "team-a";
constexpr std::uint64_t paid = 100000;

/// A host that holds no tokens but those that its requests need.
struct running_host {
  running_host(store_model& store, const std::string& name, std::uint64_t incarnation,
               std::uint64_t budget = paid)
      : log{{.host = name, .file = "/dev/null"}},
        manager{{name, incarnation}, options(), logs(store), time, faults, log} {
    manager.set_holder_predicate([](const std::string&) { return false; });
    manager.set_prepaid({{team, budget}});
    manager.start();
    for (int i = 0; i < 500 && !manager.loaded(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    REQUIRE(manager.loaded());
  }

  static prepaid_options options() {
    prepaid_options all;
    all.own_unreadable_timeout = time_ms{100};
    return all;
  }

  static std::vector<std::unique_ptr<account_log>> logs(store_model& store) {
    std::vector<std::unique_ptr<account_log>> all;
    all.push_back(std::make_unique<store_model_log>(store));
    return all;
  }

  boot_clock since_start;
  fleet_clock time{since_start};
  structured_log log;
  metrics figures{"overwritten-account-test"};
  entry_faults faults{log, figures};
  budget_manager manager;
};

account account_of(std::uint64_t incarnation, std::uint64_t granted) {
  return {.incarnation = incarnation, .granted = granted, .used = 1000};
}

} // namespace

// A host misses the record by which another one was granted more: the account is overwritten, and
// the store forgets its history. What the host last knew of it must not count as current:
// otherwise the tokens are granted twice, and the team uses more than it paid for.
TEST_CASE("an account that is overwritten after missed records counts as unknown") {
  store_model store;
  store.append({team, "h1", account_of(1, 20000)});
  running_host host{store, "h2", 2};
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  store.lose({team, "h1", account_of(1, 90000)});
  CHECK(host.manager.reserve(team, 50000) != reserve_outcome::reserved);
  CHECK(host.manager.totals()[team].granted <= paid - 90000);
}

// The account is deleted instead. The newest records do not show that there was one.
TEST_CASE("an account that is deleted among missed records counts as unknown") {
  store_model store;
  store.append({team, "h1", account_of(1, 20000)});
  running_host host{store, "h2", 2};
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  store.lose_by_deletion({team, "h1", account_of(1, 90000)});
  CHECK(host.manager.reserve(team, 50000) != reserve_outcome::reserved);
  CHECK(host.manager.totals()[team].granted <= paid - 90000);
}

// The log still retains the last record of the account that was deleted.
TEST_CASE("an account that is deleted among missed records is found in the log's history") {
  store_model store;
  store.append({team, "h1", account_of(1, 20000)});
  running_host host{store, "h2", 2};
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  store.append({team, "h3", account_of(1, 2000)});
  store.lose_by_deletion({team, "h1", account_of(1, 90000)}, 1);
  CHECK(host.manager.reserve(team, 50000) != reserve_outcome::reserved);
  CHECK(host.manager.reserve(team, 5000) == reserve_outcome::reserved);
  CHECK(host.manager.totals()[team].granted <= paid);
}

// The same happens to a raised budget that was recorded with that account. If the host recorded the
// one that it knew again, the lost account would be written off too low.
TEST_CASE("a recorded budget that is overwritten after missed records counts as unknown") {
  store_model store;
  running_host host{store, "h2", 2};
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  REQUIRE(store.newest_budget_of(team) == budget_record{team, paid});
  host.manager.settle(team, 100, 50);
  store.lose({team, "h1", account_of(1, paid + 50000), 2 * paid});
  for (int i = 0; i < 3; ++i)
    CHECK(host.manager.reserve(team, 50000) != reserve_outcome::reserved);
  CHECK_FALSE(store.newest_budget_of(team));
}

// A record is written under the key of a host that has no account, as of one that has just been
// replaced. Hosts that run have read the log and know that; if they refused the team, it would lose
// its budget.
TEST_CASE("a record under a key without an account does not keep a team from being served") {
  store_model store;
  running_host host{store, "h2", 2};
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  store.overwrite(account_key(team, "h1"));
  CHECK(host.manager.reserve(team, 50000) == reserve_outcome::reserved);
  CHECK(store.newest_of(team, "h1") == account{});
}

// A host's account is overwritten while the host is away, and the store forgets its history.
TEST_CASE("an account that is overwritten is restored by a host that has read it") {
  store_model store;
  store.append({team, "h1", account_of(1, 20000)});
  running_host host{store, "h2", 2};
  store.overwrite(account_key(team, "h1"));
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  store.forget_history();
  CHECK(store.newest_of(team, "h1") == account_of(1, 20000));
  running_host started{store, "h3", 3};
  CHECK(started.manager.reserve(team, 50000) == reserve_outcome::reserved);
  CHECK(started.manager.reserve(team, 70000) != reserve_outcome::reserved);
}

// The owner writes its account again before others have read that it was overwritten.
TEST_CASE("an account whose owner has written it again is not restored by others") {
  store_model store;
  store.append({team, "h1", account_of(1, 20000)});
  running_host host{store, "h2", 2};
  store.overwrite(account_key(team, "h1"));
  store.append({team, "h1", account_of(1, 30000)});
  const std::uint64_t before = store.end();
  REQUIRE(host.manager.reserve(team, 100) == reserve_outcome::reserved);
  CHECK(store.end() == before + 2); // its own account, and the recorded budget
  CHECK(store.newest_of(team, "h1") == account_of(1, 30000));
}

// All hosts restart after an account was overwritten and the store forgot its history, and the
// budget was raised just before: the team must be served from the raise.
TEST_CASE("a team is served from a raise when an account that no host knows is written off") {
  store_model store;
  {
    running_host before{store, "h1", 1};
    REQUIRE(before.manager.reserve(team, 20000) == reserve_outcome::reserved);
  }
  store.overwrite(account_key(team, "h1"));
  store.forget_history();
  constexpr std::uint64_t raised = 2 * paid;
  running_host owner{store, "h1", 2, raised};
  for (int i = 0; i < 500 && owner.manager.totals()[team].used == 0; ++i) {
    (void)owner.manager.reserve(team, 1);
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  CHECK(owner.manager.totals()[team].used == paid);
  running_host other{store, "h2", 3, raised};
  CHECK(other.manager.reserve(team, paid) == reserve_outcome::reserved);
  CHECK(other.manager.reserve(team, 1000) != reserve_outcome::reserved);
}
