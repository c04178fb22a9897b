// One story each. The random schedules mix them all.

#include "log_model.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;

namespace {

using prepaid_table = std::map<std::string, std::uint64_t>;

const std::string team = "team-a";
constexpr std::uint64_t paid = 10000;

struct host_model {
  host_model(const std::string& name, std::uint64_t incarnation)
      : book{name, incarnation, prepaid_options{}} {}

  bool report(log_model& log, time_ms now, bool leaving = false) {
    log.read_into(book, now);
    const std::uint64_t at = book.end();
    const auto records = book.plan({{team, paid}}, now, leaving);
    if (!records.empty() && !log.append_at(at, records))
      return false;
    log.read_into(book, now);
    return true;
  }

  prepaid_book book;
};

} // namespace

// A team's first request comes to a host that holds nothing. It asks the log and is granted enough
// for the request and for those that follow; another host still finds tokens.
TEST_CASE("a host is granted what it needs and leaves the rest to others") {
  log_model log;
  host_model first{"h1", 1};
  host_model second{"h2", 2};
  REQUIRE(first.book.reserve(team, paid, 800) == reserve_outcome::short_here);
  REQUIRE(first.report(log, time_ms{20}));
  CHECK(first.book.reserve(team, paid, 800) == reserve_outcome::reserved);
  REQUIRE(second.report(log, time_ms{30}));
  CHECK(second.book.slack(team) > 0);
  CHECK(first.book.granted(team) <= paid);
}

// A host is killed while it holds tokens and comes back under its name. It cannot know how many of
// them were spent, so all count as spent; the rest of the budget is there for it and for others.
TEST_CASE("what a killed host held counts as spent when it is back") {
  log_model log;
  host_model before{"h1", 1};
  (void)before.book.reserve(team, paid, 500);
  REQUIRE(before.report(log, time_ms{20}));
  const std::uint64_t held = before.book.granted(team);
  host_model after{"h1", 2};
  log.read_into(after.book, time_ms{30});
  CHECK(after.book.slack(team) == 0);
  CHECK(after.book.used(team) == held);
  CHECK(after.book.reserve(team, paid, paid - held + 1) == reserve_outcome::exhausted);
  REQUIRE(after.report(log, time_ms{40}));
  CHECK(after.book.slack(team) > 0);
  CHECK(after.book.granted(team) <= paid);
}

// A host stops in good order. What it did not use is back in the budget before it has gone.
TEST_CASE("a host that leaves hands back what it did not use") {
  log_model log;
  host_model host{"h1", 1};
  (void)host.book.reserve(team, paid, 500);
  REQUIRE(host.report(log, time_ms{20}));
  REQUIRE(host.book.reserve(team, paid, 500) == reserve_outcome::reserved);
  host.book.settle(team, 500, 320);
  REQUIRE(host.report(log, time_ms{30}, true));
  CHECK(host.book.granted(team) == 320);
}

// A host hands tokens back, and the answer to that append is lost. The append is carried out
// seconds later. Meanwhile the host goes on serving: it must not spend what it handed back.
TEST_CASE("tokens on their way back are not spent while the answer is missing") {
  log_model log;
  host_model host{"h1", 1};
  (void)host.book.reserve(team, paid, 4000);
  REQUIRE(host.report(log, time_ms{20}));
  const std::uint64_t at = host.book.end();
  const auto returned = host.book.plan({{team, paid}}, time_ms{30}, true);
  REQUIRE(returned.size() == 1);
  CHECK(host.book.reserve(team, paid, 1) != reserve_outcome::reserved);
  REQUIRE(log.append_at(at, returned));
  log.read_into(host.book, time_ms{40});
  CHECK(host.book.slack(team) == 0);
}

// The append was never carried out, and another host's record came instead: the log tells, and what
// the host holds by the log may be spent again.
TEST_CASE("tokens that were not handed back after all may be spent") {
  log_model log;
  host_model host{"h1", 1};
  host_model other{"h2", 2};
  (void)host.book.reserve(team, paid, 500);
  REQUIRE(host.report(log, time_ms{20}));
  const std::uint64_t held = host.book.slack(team);
  (void)host.book.plan({{team, paid}}, time_ms{30}, true);
  REQUIRE(other.report(log, time_ms{40}));
  REQUIRE(log.end() > 1);
  log.read_into(host.book, time_ms{50});
  CHECK(host.book.slack(team) == held);
}

TEST_CASE("a request that is larger than the whole budget is refused for good") {
  prepaid_book book{"h1", 1, prepaid_options{}};
  CHECK(book.reserve(team, paid, paid + 1) == reserve_outcome::exhausted);
}

TEST_CASE("a raised budget serves again") {
  log_model log;
  host_model host{"h1", 1};
  (void)host.book.reserve(team, paid, paid);
  REQUIRE(host.report(log, time_ms{20}));
  REQUIRE(host.book.reserve(team, paid, paid) == reserve_outcome::reserved);
  CHECK(host.book.reserve(team, paid, 100) == reserve_outcome::exhausted);
  CHECK(host.book.reserve(team, 2 * paid, 100) == reserve_outcome::short_here);
}

// Every host but one is cut off from the log. The one that is not must not draw the parts of the
// others, who go on using theirs and come back short.
TEST_CASE("a host that is cut off keeps its part of a budget") {
  log_model log;
  host_model near{"h1", 1};
  host_model far{"h2", 2};
  REQUIRE(near.report(log, time_ms{1000}));
  REQUIRE(far.report(log, time_ms{1000}));
  for (int round = 2; round < 10; ++round)
    REQUIRE(near.report(log, time_ms{1000 * round}));
  CHECK(near.book.slack(team) <= paid / 2);
}
