// Single cases of reclaimed grants; the random schedules combine them.

#include "log_model.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

const std::string team = "team-a";
constexpr std::uint64_t paid = 10000;

clock_reading reading(time_ms now) {
  return {now, now + time_ms{1000000}};
}

bool report(partition_budgets& budgets, log_model& log, time_ms now) {
  log.read_into(budgets, now);
  const auto records = budgets.plan({{team, paid}}, reading(now), false);
  if (!records.empty() && !log.append_at(budgets.end(), records))
    return false;
  log.read_into(budgets, now);
  return true;
}

void report_until(partition_budgets& budgets, log_model& log, time_ms from, time_ms until) {
  for (time_ms now = from; now <= until; now += time_ms{500})
    REQUIRE(report(budgets, log, now));
}

} // namespace

// A host is lost for good with most of a budget.
TEST_CASE("what a lost host cannot use is free again within twelve seconds") {
  log_model log;
  partition_budgets lost{"h1", 1, {}, {}};
  partition_budgets other{"h2", 2, {}, {}};
  REQUIRE(report(lost, log, time_ms{1000}));
  const account last = log.records.back().value;
  REQUIRE(last.granted > paid / 2);
  report_until(other, log, time_ms{1000}, time_ms{13000});
  CHECK(other.account_of(team, "h1") == reclaimed(last));
  CHECK(other.grantable(team, paid, paid - use_limit(last)));
}

// A host freezes with a record on its way and wakes after others have reclaimed its grant.
TEST_CASE("a host that wakes keeps to its limit and then writes what it used") {
  log_model log;
  partition_budgets sleeper{"h1", 1, {}, {}};
  partition_budgets other{"h2", 2, {}, {}};
  REQUIRE(report(sleeper, log, time_ms{1000}));
  const account last = log.records.back().value;
  const auto on_its_way = sleeper.plan({{team, paid}}, reading(time_ms{4000}), false);
  const std::uint64_t at = sleeper.end();
  report_until(other, log, time_ms{1000}, time_ms{13000});
  REQUIRE(other.account_of(team, "h1")->granted == use_limit(last));
  CHECK_FALSE(log.append_at(at, on_its_way));
  CHECK(sleeper.slack(team, time_ms{60000}) <= use_limit(last));
  REQUIRE(sleeper.reserve(team, paid, 10, time_ms{60000}) == reserve_outcome::reserved);
  log.read_into(sleeper, time_ms{60000});
  CHECK(sleeper.slack(team, time_ms{60000}) == use_limit(last) - 10);
  REQUIRE(report(sleeper, log, time_ms{60000}));
  CHECK(log.records.back().host == "h1");
  CHECK(log.records.back().value.used == 10);
}

// All hosts were cut off from the log; the others have not written since, but may do so at any
// time.
TEST_CASE("a host that is back from a partition reclaims nothing at once") {
  log_model log;
  partition_budgets first{"h1", 1, {}, {}};
  partition_budgets second{"h2", 2, {}, {}};
  REQUIRE(report(first, log, time_ms{1000}));
  const std::uint64_t granted = log.records.back().value.granted;
  REQUIRE(report(second, log, time_ms{1000}));
  report_until(second, log, time_ms{12000}, time_ms{19000});
  CHECK(second.account_of(team, "h1")->granted == granted);
  report_until(second, log, time_ms{19500}, time_ms{20500});
  CHECK(second.account_of(team, "h1")->granted < granted);
}

// The record in which its grant was reclaimed was overwritten and forgotten before the host read
// it.
TEST_CASE("a host that missed records of its own account keeps to what nobody can have reclaimed") {
  log_model log;
  partition_budgets host{"h1", 1, {}, {}};
  REQUIRE(report(host, log, time_ms{1000}));
  const account last = log.records.back().value;
  host.forget_account(team, "h1");
  host.note_unreadable(team, "h1", time_ms{20000});
  CHECK(host.account_of(team, "h1")->granted == use_limit(last));
  CHECK(host.slack(team, time_ms{20000}) <= use_limit(last));
}

// A host without requests writes nothing new; it must not be taken for a silent one.
TEST_CASE("an idle host that is in touch is not silent") {
  log_model log;
  partition_budgets idle{"h1", 1, {}, {}};
  partition_budgets other{"h2", 2, {}, {}};
  for (time_ms now{1000}; now < time_ms{40000}; now += time_ms{500}) {
    REQUIRE(report(idle, log, now));
    REQUIRE(report(other, log, now));
  }
  CHECK(idle.account_of(team, "h1")->slack() > 0);
  for (const account_record& record : log.records)
    CHECK((record.value.granted == 0 || record.value.slack() > 0));
}
