// One test per fault. The random schedules combine them.

#include "fleet_model.hpp"

#include <doctest/doctest.h>

using namespace sedgechute;
using namespace sedgechute::ledger;

namespace {

void run(fleet_model& fleet, int rounds) {
  for (int i = 0; i < rounds; ++i)
    fleet.run_round();
  fleet.check();
  CHECK(fleet.found().first == "");
}

/// Spends 100 tokens of team 0.
/// \returns the host that holds the slice they were spent from
std::uint32_t spend_100_tokens(fleet_model& fleet) {
  run(fleet, 2);
  const std::size_t request = fleet.start_request(0, 0, 100);
  run(fleet, 12);
  REQUIRE(fleet.outcome(request) == budget_outcome::granted);
  const std::uint32_t holder = fleet.holder_of(request);
  fleet.finish_request(request, 100);
  run(fleet, 4);
  return holder;
}

std::uint32_t host_other_than(std::uint32_t host) {
  return host == 0 ? 1 : 0;
}

} // namespace

// A paused holder must not overspend when it resumes. While it is paused its witness seals the
// epoch and returns the tokens that it had not signed, and another host is granted and spends them.
// An hour later the holder resumes with its slice unchanged.
TEST_CASE("a holder that resumes after an hour cannot spend tokens granted to others") {
  fleet_model fleet{{}, 1};
  const std::uint32_t holder = spend_100_tokens(fleet);
  fleet.apply({step_kind::pause, holder, 0});
  fleet.see_all_members();
  run(fleet, 10);
  const token_count stranded = fleet.totals(0).written_off;
  CHECK(stranded < 4000 / 10);
  const std::uint32_t other = host_other_than(holder);
  const std::size_t request = fleet.start_request(other, 0, 3400);
  run(fleet, 30);
  REQUIRE(fleet.outcome(request) == budget_outcome::granted);
  fleet.apply({step_kind::long_wait, other, 0});
  fleet.apply({step_kind::pause, holder, 0});
  const std::size_t late = fleet.start_request(holder, 0, 1000);
  fleet.check();
  CHECK(fleet.found().first == "");
  run(fleet, 40);
  CHECK(fleet.outcome(late) != budget_outcome::granted);
  fleet.heal_and_check();
  CHECK(fleet.found().first == "");
  CHECK(fleet.totals(0).written_off == 0);
}

// The holder crashes and does not come back. Tokens that its witness signed and no report covers
// stay written off; the rest of the budget is usable at once.
TEST_CASE("a crashed holder strands only its opened tokens") {
  fleet_model fleet{{}, 1};
  const std::uint32_t holder = spend_100_tokens(fleet);
  fleet.apply({step_kind::crash, holder, 0});
  fleet.see_all_members();
  run(fleet, 10);
  CHECK(fleet.totals(0).written_off <= 100);
  const std::size_t request = fleet.start_request(host_other_than(holder), 0, 3800);
  run(fleet, 30);
  CHECK(fleet.outcome(request) == budget_outcome::granted);
}

// During a long log outage requests must still be served from delegated tokens, also if the data
// centre's holder has less than a request needs: it gets tokens from the other holders directly.
TEST_CASE("requests continue through a log outage and holders transfer tokens") {
  model_options options;
  options.hosts = 4;
  options.ledger.busy_requests = 1;
  options.ledger.first_slice_share = 2;
  fleet_model fleet{options, 1};
  run(fleet, 2);
  for (std::uint32_t host = 0; host < 4; ++host) {
    const std::size_t request = fleet.start_request(host, 0, 100);
    run(fleet, 20);
    fleet.finish_request(request, 100);
  }
  fleet.apply({step_kind::log_outage, 0, 0});
  token_count granted = 0;
  for (std::uint32_t i = 0; i < 12; ++i) {
    const std::size_t request = fleet.start_request(i % 4, 0, 300);
    run(fleet, 30);
    if (fleet.outcome(request) != budget_outcome::granted)
      continue;
    granted += 300;
    fleet.finish_request(request, 300);
  }
  CHECK(granted >= 3000);
  fleet.heal_and_check();
  CHECK(fleet.found().first == "");
}

// An entry host dies during a request, so its usage is unknown: the team must not be billed, the
// bound is written off, and a retry by the caller takes the reservation over.
TEST_CASE("a dead entry host's reservation is written off unless a retry takes it over") {
  for (const bool retried : {true, false}) {
    fleet_model fleet{{}, 1};
    const std::uint32_t holder = spend_100_tokens(fleet);
    const std::uint32_t entry = host_other_than(holder);
    const std::size_t request = fleet.start_request(entry, 0, 500);
    run(fleet, 12);
    REQUIRE(fleet.outcome(request) == budget_outcome::granted);
    fleet.apply({step_kind::crash, entry, 0});
    fleet.see_all_members();
    run(fleet, 4);
    if (retried) {
      fleet.apply({step_kind::retry, holder, 1});
      run(fleet, 12);
    }
    fleet.heal_and_check();
    CHECK(fleet.found().first == "");
    CHECK(fleet.totals(0).written_off == (retried ? 0 : 500));
    CHECK(fleet.billed(0) == (retried ? 350 : 100));
  }
}

// In a planned stop the holder returns its slice, and no token stays written off or held.
TEST_CASE("a host that drains returns its free tokens and closes its slices") {
  fleet_model fleet{{}, 1};
  const std::uint32_t holder = spend_100_tokens(fleet);
  fleet.apply({step_kind::drain, holder, 0});
  CHECK_FALSE(fleet.host(holder).drained());
  run(fleet, 10);
  CHECK(fleet.host(holder).drained());
  CHECK(fleet.totals(0).outstanding == 0);
  CHECK(fleet.totals(0).pool() == 3900);
}

// A contract is reduced below the delegated amount. Spent tokens stay spent, no host is granted
// more, and free tokens return to the pool.
TEST_CASE("a reduced contract takes back unused tokens only") {
  fleet_model fleet{{}, 1};
  spend_100_tokens(fleet);
  fleet.set_contract(0, 50);
  run(fleet, 100);
  CHECK(fleet.totals(0).bought() == 100);
  CHECK(fleet.totals(0).spent == 100);
  const std::size_t request = fleet.start_request(1, 0, 10);
  run(fleet, 40);
  CHECK(fleet.outcome(request) == budget_outcome::exhausted);
  fleet.set_contract(0, 1000);
  run(fleet, 2);
  const std::size_t later = fleet.start_request(1, 0, 900);
  run(fleet, 40);
  CHECK(fleet.outcome(later) == budget_outcome::granted);
}
