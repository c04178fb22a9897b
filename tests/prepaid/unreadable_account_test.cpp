// Records among the accounts that another program wrote over those of hosts.

#include "log_model.hpp"

#include <doctest/doctest.h>

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

bool report(partition_budgets& budgets, log_model& log, time_ms now) {
  log.read_into(budgets, now);
  const auto records = budgets.plan({{team, paid}}, reading(now), false);
  if (!records.empty() && !log.append_at(budgets.end(), records))
    return false;
  log.read_into(budgets, now);
  return true;
}

/// Grants a host what a request of so many tokens needs.
void grant(partition_budgets& budgets, log_model& log, std::uint64_t tokens, time_ms now) {
  budgets.begin_waiting(team, tokens);
  REQUIRE(report(budgets, log, now));
  budgets.end_waiting(team, tokens);
}

} // namespace

// A host holds most of a budget, and another program overwrites its account. Another host must go
// on counting what it knew: else the same tokens are granted twice, and the team uses more than it
// paid for.
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

// A host starts, and the newest record under another host's key cannot be read. What that one holds
// is not known: it may be all that nobody else holds. Nothing is granted until its owner has
// written again.
TEST_CASE("a host that has just started grants nothing beside an account that it cannot read") {
  log_model log;
  partition_budgets owner = book_of("h1", 1);
  grant(owner, log, 8000, time_ms{1000});
  const std::uint64_t held = owner.granted(team);
  partition_budgets started = book_of("h2", 2);
  started.note_unreadable(team, "h1", time_ms{1050});
  started.advance(log.end());
  CHECK_FALSE(started.grantable(team, paid, 100));
  started.begin_waiting(team, 100);
  CHECK(started.plan({{team, paid}}, reading(time_ms{1100}), false).empty());
  started.end_waiting(team, 100);
  CHECK(started.reserve(team, paid, 100, time_ms{1100}) == reserve_outcome::short_here);
  started.receive(team, 100); // what others lend can be used
  CHECK(started.reserve(team, paid, 100, time_ms{1100}) == reserve_outcome::reserved);
  owner.note_unreadable(team, "h1", time_ms{1150});
  REQUIRE(report(owner, log, time_ms{1200}));
  for (const account_record& record : log.records)
    started.apply(record, log.end(), time_ms{1200});
  CHECK(started.granted(team) == held);
  CHECK(started.grantable(team, paid, paid - held));
}

// A host's own account was overwritten or dropped while it runs. It writes it again at once, and
// once: others, and its next life, know it only from there.
TEST_CASE("a host writes its account again when another program overwrote it") {
  log_model log;
  partition_budgets host = book_of("h1", 1);
  grant(host, log, 500, time_ms{1000});
  REQUIRE(report(host, log, time_ms{1010}));
  const std::size_t written = log.records.size();
  REQUIRE(report(host, log, time_ms{1020}));
  REQUIRE(log.records.size() == written); // nothing new to tell
  host.note_unreadable(team, "h1", time_ms{1025});
  REQUIRE(report(host, log, time_ms{1030}));
  CHECK(log.records.size() == written + 1);
  CHECK(log.records.back().value.granted == log.records[written - 1].value.granted);
  REQUIRE(report(host, log, time_ms{1040}));
  CHECK(log.records.size() == written + 1);
}

// A host is killed, its account is overwritten, and it starts again. What its earlier life was
// granted and may have used is not known: it must not write an account that says nothing of it.
TEST_CASE("a host that cannot read what its earlier life left writes nothing over it") {
  log_model log;
  partition_budgets host = book_of("h1", 2, time_ms{5000});
  host.note_unreadable(team, "h1", time_ms{5000});
  host.begin_waiting(team, 800);
  CHECK(host.plan({{team, paid}}, reading(time_ms{5000}), false).empty());
  CHECK(host.plan({{team, paid}}, reading(time_ms{6000}), true).empty());
  CHECK_FALSE(host.grantable(team, paid, 1));
}

// All hosts start again after an account was overwritten, and none knows it: the team would never
// be granted anything again, also not of what is paid later.
TEST_CASE("an account that nobody knows is written off by its owner") {
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

// The host whose account was overwritten never comes back.
TEST_CASE("an account that nobody knows is written off by another host when its owner stays away") {
  log_model log;
  log.overwrite(team, "h1");
  partition_budgets other = book_of("h2", 3, time_ms{5000});
  log.read_newest_into(other, time_ms{5000});
  REQUIRE(report(other, log, time_ms{20000}));
  REQUIRE(log.records.size() == 1);
  REQUIRE(report(other, log, time_ms{25100}));
  CHECK(other.used(team) == paid);
}

// The owner was only cut off, and comes back with tokens in use after another host wrote them off.
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

TEST_CASE("an unreadable record of one team blocks no other") {
  partition_budgets host = book_of("h1", 1);
  host.note_unreadable("team-b", "h2", time_ms{1000});
  host.begin_waiting(team, 800);
  CHECK(host.plan({{team, paid}}, reading(time_ms{1000}), false).size() == 1);
}
