// Accounts of hosts that another program overwrote.

#include "log_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sedgechute;

namespace {

const std::string team = "team-a";
constexpr std::uint64_t paid = 10000;

clock_reading reading(time_ms now) {
  return {now, now + time_ms{1000000}};
}

partition_budgets book_of(const std::string& host, std::uint64_t incarnation,
                          time_ms started = {}) {
  return {host, incarnation, reading(started), prepaid_options{}};
}

bool report(partition_budgets& budgets, log_model& log, time_ms now, std::uint64_t budget = paid) {
  log.read_into(budgets, now);
  const auto records = budgets.plan({{team, budget}}, reading(now), false);
  if (!records.empty() && !log.append_at(budgets.end(), records))
    return false;
  log.read_into(budgets, now);
  return true;
}

/// Grants a host the tokens that a request needs.
void grant(partition_budgets& budgets, log_model& log, std::uint64_t tokens, time_ms now,
           std::uint64_t budget = paid) {
  budgets.begin_waiting(team, tokens);
  REQUIRE(report(budgets, log, now, budget));
  budgets.end_waiting(team, tokens);
}

} // namespace

// A host holds most of a budget, and another program overwrites its account. Other hosts must keep
// counting the last known account: otherwise the tokens are granted twice, and the team uses more
// than it paid for.
TEST_CASE("an account that is overwritten stays granted to its host") {
  log_model log;
  partition_budgets first = book_of("h1", 1);
  partition_budgets second = book_of("h2", 2);
  grant(first, log, 8000, time_ms{1000});
  log.read_into(second, time_ms{1000});
  const std::uint64_t before = second.granted(team);
  REQUIRE(before >= 8000);
  second.note_unreadable(team, "h1", time_ms{1050});
  CHECK(second.granted(team) == before);
  CHECK_FALSE(second.grantable(team, paid, paid - before + 1));
  grant(second, log, 8000, time_ms{1100});
  CHECK(second.granted(team) <= paid);
}

// A host starts, and the newest record under another host's key is unreadable. That host may hold
// all tokens that no other host holds, so nothing is granted until it has written again.
TEST_CASE("a host that has just started grants nothing beside an account that it cannot read") {
  log_model log;
  partition_budgets owner = book_of("h1", 1);
  grant(owner, log, 8000, time_ms{1000});
  partition_budgets started = book_of("h2", 2);
  started.note_unreadable(team, "h1", time_ms{1050});
  started.advance(log.end());
  CHECK_FALSE(started.grantable(team, paid, 100));
  started.begin_waiting(team, 100);
  CHECK(started.plan({{team, paid}}, reading(time_ms{1100}), false).empty());
  started.end_waiting(team, 100);
  CHECK(started.reserve(team, paid, 100, time_ms{1100}) == reserve_outcome::short_here);
  started.receive(team, 100); // borrowed tokens can be used
  CHECK(started.reserve(team, paid, 100, time_ms{1100}) == reserve_outcome::reserved);
  owner.note_unreadable(team, "h1", time_ms{1150});
  REQUIRE(report(owner, log, time_ms{1200}));
  const std::uint64_t held = owner.granted(team);
  REQUIRE(held >= 8000);
  for (const account_record& record : log.records)
    started.apply(record, log.end(), time_ms{1200});
  CHECK(started.granted(team) == held);
  CHECK(started.grantable(team, paid, paid - held));
}

// A running host's own account is overwritten or deleted. The host writes it again at once, and
// only once, since other hosts and its next incarnation know it only from the log.
TEST_CASE("a host writes its account again when another program overwrote it") {
  log_model log;
  partition_budgets host = book_of("h1", 1);
  grant(host, log, 500, time_ms{1000});
  REQUIRE(report(host, log, time_ms{1010}));
  const std::size_t written = log.records.size();
  REQUIRE(report(host, log, time_ms{1020}));
  REQUIRE(log.records.size() == written); // nothing new to write
  host.note_unreadable(team, "h1", time_ms{1025});
  REQUIRE(report(host, log, time_ms{1030}));
  CHECK(log.records.size() == written + 1);
  CHECK(log.records.back().value.granted == log.records[written - 1].value.granted);
  REQUIRE(report(host, log, time_ms{1040}));
  CHECK(log.records.size() == written + 1);
}

// A host is killed, or cut off, and its account is overwritten. Another host that knows it writes
// it again, so that hosts that start do not refuse the team.
TEST_CASE("a host restores the account of another host that another program overwrote") {
  log_model log;
  partition_budgets first = book_of("h1", 1);
  partition_budgets second = book_of("h2", 2);
  grant(first, log, 8000, time_ms{1000});
  log.read_into(second, time_ms{1000});
  const account_record lost = log.records.back();
  log.overwrite(team, "h1");
  REQUIRE(report(second, log, time_ms{1100}));
  partition_budgets started = book_of("h3", 3);
  log.read_newest_into(started, time_ms{1200});
  CHECK(started.granted(team) == second.granted(team));
  CHECK(started.grantable(team, paid, paid - second.granted(team)));
  CHECK(std::count_if(log.records.begin(), log.records.end(), [&](const account_record& one) {
          return one.host == lost.host && one.value == lost.value;
        }) == 2); // the one that was overwritten, and the one that restores it
  const std::size_t written = log.records.size();
  REQUIRE(report(second, log, time_ms{1110}));
  CHECK(log.records.size() == written);
}

// A record is written under the key of a host that has no account. Hosts that have read all earlier
// records know that: they must not refuse the team, nor write off its budget.
TEST_CASE("a record under a key without an account blocks no host that has read the log") {
  log_model log;
  partition_budgets running = book_of("h1", 1);
  grant(running, log, 500, time_ms{1000});
  log.overwrite(team, "h2");
  log.read_into(running, time_ms{1100});
  CHECK(running.grantable(team, paid, 5000));
  REQUIRE(report(running, log, time_ms{1200}));
  partition_budgets started = book_of("h3", 3, time_ms{1300});
  log.read_newest_into(started, time_ms{1300});
  CHECK(started.grantable(team, paid, 100));
  REQUIRE(report(running, log, time_ms{30000}));
  CHECK(running.used(team) == 0);
}

// An account is overwritten, and before a host that knows it can restore it, that host misses
// records. It has nothing to restore any more, and goes on reporting its own use.
TEST_CASE("a host restores no account that it has forgotten") {
  log_model log;
  partition_budgets owner = book_of("h1", 1);
  partition_budgets other = book_of("h2", 2);
  grant(owner, log, 500, time_ms{1000});
  grant(other, log, 500, time_ms{1000});
  other.note_unreadable(team, "h1", time_ms{1100});
  other.forget_account(team, "h1");
  other.note_unreadable(team, "h1", time_ms{1200});
  REQUIRE(other.reserve(team, paid, 500, time_ms{1200}) == reserve_outcome::reserved);
  const auto records = other.plan({{team, paid}}, reading(time_ms{2000}), false);
  REQUIRE(records.size() == 1);
  CHECK(records.front().host == "h2");
}

// An account is deleted, a host starts and sees nothing of it, and the key is overwritten: the host
// restores an empty account. Those that know better must not count the tokens as free.
TEST_CASE("an empty account that was restored does not replace one that is known") {
  log_model log;
  partition_budgets owner = book_of("h1", 1);
  partition_budgets other = book_of("h2", 2);
  grant(owner, log, 8000, time_ms{1000});
  log.read_into(other, time_ms{1000});
  const std::uint64_t held = owner.granted(team);
  log.records.push_back({team, "h1", account{}});
  log.read_into(other, time_ms{1100});
  CHECK(other.granted(team) == held);
  REQUIRE(report(other, log, time_ms{1200}));
  log.read_into(owner, time_ms{1300});
  CHECK(owner.granted(team) == other.granted(team));
  CHECK(owner.reserve(team, paid, 500, time_ms{1300}) == reserve_outcome::reserved);
}

// A host is killed, its account is overwritten, and the host restarts. What its earlier incarnation
// was granted and may have used is unknown, so it must not write an account that omits this.
TEST_CASE("a host that cannot read its own earlier account does not overwrite it") {
  log_model log;
  partition_budgets host = book_of("h1", 2, time_ms{5000});
  host.note_unreadable(team, "h1", time_ms{5000});
  host.begin_waiting(team, 800);
  CHECK(host.plan({{team, paid}}, reading(time_ms{5000}), false).empty());
  CHECK(host.plan({{team, paid}}, reading(time_ms{6000}), true).empty());
  CHECK_FALSE(host.grantable(team, paid, 1));
}

// All hosts restart after an account was overwritten, and none knows it: without a write-off the
// team would never be granted tokens again, not even those paid for later.
TEST_CASE("an account that no host knows is written off by its owner") {
  log_model log;
  log.overwrite(team, "h1");
  partition_budgets owner = book_of("h1", 2, time_ms{5000});
  partition_budgets other = book_of("h2", 3, time_ms{5000});
  log.read_newest_into(owner, time_ms{5000});
  log.read_newest_into(other, time_ms{5000});
  REQUIRE(report(other, log, time_ms{10500}));
  REQUIRE(other.granted(team) == 0);
  REQUIRE(report(owner, log, time_ms{10500}));
  CHECK(owner.used(team) == paid);
  log.read_into(other, time_ms{10600});
  CHECK(other.reserve(team, paid, 1, time_ms{10600}) == reserve_outcome::exhausted);
  const std::uint64_t raised = paid + 5000;
  other.begin_waiting(team, 1000);
  const auto records = other.plan({{team, raised}}, reading(time_ms{10700}), false);
  REQUIRE(log.append_at(other.end(), records));
  other.end_waiting(team, 1000);
  log.read_into(other, time_ms{10700});
  CHECK(other.reserve(team, raised, 1000, time_ms{10700}) == reserve_outcome::reserved);
  CHECK(other.granted(team) <= raised);
}

// The host whose account was overwritten never returns.
TEST_CASE(
    "an account that no host knows is written off by another host when its owner stays away") {
  log_model log;
  log.overwrite(team, "h1");
  partition_budgets other = book_of("h2", 3, time_ms{5000});
  log.read_newest_into(other, time_ms{5000});
  REQUIRE(report(other, log, time_ms{20000}));
  REQUIRE(log.records.size() == 1);
  REQUIRE(report(other, log, time_ms{25100}));
  CHECK(other.used(team) == paid);
}

// The owner was only cut off, and returns with tokens in use after another host wrote them off.
TEST_CASE("an owner that returns to an account written off by another uses nothing of it twice") {
  log_model log;
  partition_budgets owner = book_of("h1", 1);
  grant(owner, log, 4000, time_ms{1000});
  const std::uint64_t held = owner.granted(team);
  log.overwrite(team, "h1");
  partition_budgets other = book_of("h2", 3, time_ms{2000});
  log.read_newest_into(other, time_ms{2000});
  REQUIRE(report(other, log, time_ms{22100}));
  REQUIRE(owner.reserve(team, paid, 1000, time_ms{22100}) == reserve_outcome::reserved);
  log.read_into(owner, time_ms{22200});
  CHECK(owner.reserve(team, paid, held, time_ms{22200}) != reserve_outcome::reserved);
  CHECK(owner.granted(team) <= paid);
  CHECK(owner.used(team) >= paid);
}

// A budget is raised between the loss of an account and its write-off, and all hosts have restarted
// in between. The lost account cannot have been granted anything of the raise: if that were written
// off too, the team would be refused although it has paid.
TEST_CASE("a raise after an account was overwritten is not written off with it") {
  log_model log;
  partition_budgets before = book_of("h1", 1);
  grant(before, log, 500, time_ms{1000});
  log.overwrite(team, "h1");
  partition_budgets owner = book_of("h1", 2, time_ms{5000});
  partition_budgets other = book_of("h2", 3, time_ms{5000});
  log.read_newest_into(owner, time_ms{5000});
  log.read_newest_into(other, time_ms{5000});
  constexpr std::uint64_t raised = paid + 5000;
  REQUIRE(report(owner, log, time_ms{10500}, raised));
  CHECK(owner.used(team) == paid);
  log.read_into(other, time_ms{10600});
  grant(other, log, 3000, time_ms{10700}, raised);
  CHECK(other.reserve(team, raised, 3000, time_ms{10700}) == reserve_outcome::reserved);
  CHECK(other.granted(team) <= raised);
}

// A raised budget is recorded while an account of a host that is away is overwritten: that account
// must be readable after the same append, or a write-off could not tell what it was granted of.
TEST_CASE("a raised budget is recorded together with the accounts that were overwritten") {
  log_model log;
  partition_budgets first = book_of("h1", 1);
  partition_budgets second = book_of("h2", 2);
  grant(first, log, 8000, time_ms{1000});
  log.read_into(second, time_ms{1000});
  log.overwrite(team, "h1");
  log.read_into(second, time_ms{1100});
  constexpr std::uint64_t raised = paid + 5000;
  second.begin_waiting(team, 3000);
  const auto records = second.plan({{team, raised}}, reading(time_ms{1100}), false);
  REQUIRE(records.size() == 2);
  CHECK(records.front().host == "h1");
  CHECK(records.back().recorded_budget == raised);
}

// Nobody can tell whether the lost account was granted tokens of a raise that a host records
// meanwhile.
TEST_CASE("no budget is raised beside an account that is unknown") {
  log_model log;
  partition_budgets host = book_of("h2", 1);
  grant(host, log, 500, time_ms{1000});
  log.overwrite(team, "h1");
  partition_budgets started = book_of("h2", 2, time_ms{2000});
  log.read_newest_into(started, time_ms{2000});
  for (const account_record& one :
       started.plan({{team, paid + 5000}}, reading(time_ms{2100}), false))
    CHECK_FALSE(one.recorded_budget);
}

// The recorded budget is overwritten as well as an account. Then the lost account may have been
// granted tokens of any budget that was ever in force.
TEST_CASE("an account is written off against the budget in force where none is recorded") {
  log_model log;
  partition_budgets before = book_of("h1", 1);
  grant(before, log, 500, time_ms{1000});
  log.overwrite(team, "h1");
  log.overwrite_budget(team);
  partition_budgets owner = book_of("h1", 2, time_ms{5000});
  log.read_newest_into(owner, time_ms{5000});
  REQUIRE_FALSE(owner.recorded_budget(team));
  REQUIRE(report(owner, log, time_ms{10500}, paid + 5000));
  CHECK(owner.used(team) == paid + 5000);
}

// Hosts of an earlier release grant tokens of a raised budget and record none.
TEST_CASE("a recorded budget that grants exceed bounds no write-off") {
  log_model log;
  partition_budgets before = book_of("h1", 1);
  grant(before, log, 500, time_ms{1000});
  log.records.push_back({team, "h2", {.incarnation = 9, .granted = paid, .used = 0}});
  log.overwrite(team, "h1");
  partition_budgets owner = book_of("h1", 2, time_ms{5000});
  log.read_newest_into(owner, time_ms{5000});
  log.records.push_back({team, "h2", {.incarnation = 9, .granted = paid + 1000, .used = 0}});
  REQUIRE(report(owner, log, time_ms{10500}, paid + 5000));
  CHECK(owner.granted(team) == paid + 5000);
}

// A host knows the recorded budget that another program overwrote, or replaced by a smaller one.
TEST_CASE("a recorded budget is written again when another program overwrote it") {
  log_model log;
  partition_budgets host = book_of("h1", 1);
  grant(host, log, 500, time_ms{1000});
  log.overwrite_budget(team);
  grant(host, log, 800, time_ms{2000});
  partition_budgets started = book_of("h2", 2);
  log.read_newest_into(started, time_ms{2000});
  CHECK(started.recorded_budget(team) == paid);
  host.apply(budget_record{team, paid - 1});
  grant(host, log, 900, time_ms{3000});
  partition_budgets later = book_of("h2", 3);
  log.read_newest_into(later, time_ms{3000});
  CHECK(later.recorded_budget(team) == paid);
}

// A host that has not read the newest configuration writes its account after another one was
// granted tokens of a raise. If it recorded the budget that it knows, the other account could be
// lost and written off too low.
TEST_CASE("a host that does not know of a raise does not lower the recorded budget") {
  log_model log;
  partition_budgets first = book_of("h1", 1);
  partition_budgets second = book_of("h2", 2);
  grant(second, log, 500, time_ms{1000});
  grant(first, log, 4000, time_ms{1500}, paid + 5000);
  REQUIRE(second.reserve(team, paid, 500, time_ms{1600}) == reserve_outcome::reserved);
  const std::size_t written = log.records.size();
  REQUIRE(report(second, log, time_ms{2000}));
  REQUIRE(log.records.size() == written + 1);
  partition_budgets started = book_of("h3", 3);
  log.read_newest_into(started, time_ms{2000});
  CHECK(started.recorded_budget(team) == paid + 5000);
}

// Each host would write it with each of its records.
TEST_CASE("a budget is recorded once for each raise") {
  log_model log;
  partition_budgets first = book_of("h1", 1);
  partition_budgets second = book_of("h2", 2);
  grant(first, log, 500, time_ms{1000});
  grant(second, log, 500, time_ms{1500});
  grant(first, log, 900, time_ms{2000});
  grant(second, log, 900, time_ms{2500}, paid + 5000);
  grant(first, log, 1500, time_ms{3000}, paid + 5000);
  CHECK(std::count_if(log.records.begin(), log.records.end(), [](const account_record& one) {
          return one.recorded_budget.has_value();
        }) == 2);
}

TEST_CASE("an unreadable record of one team blocks no other") {
  partition_budgets host = book_of("h1", 1);
  host.note_unreadable("team-b", "h2", time_ms{1000});
  host.begin_waiting(team, 800);
  CHECK(host.plan({{team, paid}}, reading(time_ms{1000}), false).size() == 1);
}
